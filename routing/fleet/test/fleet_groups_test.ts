import {describe, it} from 'node:test';
import {expect} from 'earl';
import {assignGroup, selectGroup} from '../src/index.js';

const namesTo = (count: number, prefix: string) =>
  Array.from({length: count}, (_, i) => `${prefix}-${i}`);

/** Returns the sizes of all groups of a fleet. */
function groupSizes(names: readonly string[]): number[] {
  const sizes = new Map<number, number>();
  for (const name of names) {
    const {index} = assignGroup(name, names);
    sizes.set(index, (sizes.get(index) ?? 0) + 1);
  }
  return [...sizes.values()];
}

describe('fleet groups', () => {
  it('form one group for a fleet of 30 gateways', () => {
    const names = namesTo(30, 'front');
    expect(assignGroup('front-7', names)).toEqual({
      index: 0,
      count: 1,
      gateways: 30,
    });
  });

  it('have equal sizes of at most 32 gateways, whatever the size of the fleet', () => {
    for (const count of [33, 100, 300, 420]) {
      const sizes = groupSizes(namesTo(count, 'front'));
      expect(Math.max(...sizes) <= 32).toEqual(true);
      expect(Math.max(...sizes) - Math.min(...sizes) <= 1).toEqual(true);
    }
  });

  it('assign each upstream to exactly one group', () => {
    const upstreams = namesTo(1_000, 'i');
    const seen = new Set<string>();
    for (let index = 0; index < 14; index++) {
      const mine = selectGroup(upstreams, name => name, {index, count: 14});
      expect(Math.abs(mine.length - 1_000 / 14) < 1).toEqual(true);
      mine.forEach(name => seen.add(name));
    }
    expect(seen.size).toEqual(1_000);
  });

  it('move few upstreams to other groups when one is removed', () => {
    const before = namesTo(1_000, 'i');
    const after = before.filter(name => name !== 'i-500');
    let moved = 0;
    for (let index = 0; index < 14; index++) {
      const group = {index, count: 14};
      const old = new Set(selectGroup(before, name => name, group));
      moved += selectGroup(after, name => name, group).filter(
        name => !old.has(name),
      ).length;
    }
    expect(moved <= 14).toEqual(true);
  });

  it('share all upstreams when there are fewer upstreams than groups', () => {
    const few = namesTo(3, 'i');
    const mine = selectGroup(few, name => name, {index: 2, count: 14});
    expect(mine.length).toEqual(3);
  });
});
