import {describe, it} from 'node:test';
import {createSeededRandom} from '@sardinestile/types';
import {expect} from 'earl';
import {chooseSubset, rankUpstreams, type UpstreamView} from '../src/index.js';

function createView(index: number, extra: Partial<UpstreamView> = {}) {
  return {
    id: `u${index}`,
    availabilityZone: 'a',
    isConnected: true,
    isHealthy: true,
    isDraining: false,
    isCircuitClosed: true,
    running: 0,
    waiting: 0,
    capacity: 10,
    unreportedRequests: 0,
    tokenIntervalMs: 20,
    ...extra,
  };
}

function rank(views: UpstreamView[], prefixKey = '') {
  const random = createSeededRandom(1);
  return rankUpstreams({views, availabilityZone: 'a', prefixKey, random});
}

describe('rankUpstreams', () => {
  it('leaves out upstreams that are not usable', () => {
    const views = [
      createView(0, {isDraining: true}),
      createView(1, {isHealthy: false}),
      createView(2, {isConnected: false}),
      createView(3, {isCircuitClosed: false}),
      createView(4),
    ];
    expect(rank(views)).toEqual(['u4']);
  });

  it('ranks a straggler last', () => {
    const views = [
      createView(0, {tokenIntervalMs: 60}),
      ...[1, 2, 3].map(index => createView(index, {running: 9})),
    ];
    expect(rank(views).at(-1)).toEqual('u0');
  });

  it('counts requests of the entry that no load report includes yet', () => {
    const views = [
      createView(0, {unreportedRequests: 9}),
      createView(1, {running: 5}),
    ];
    expect(rank(views)[0]).toEqual('u1');
  });

  it('prefers its own availability zone at equal load', () => {
    const views = [createView(0, {availabilityZone: 'b'}), createView(1)];
    expect(rank(views)[0]).toEqual('u1');
  });

  it('sends a prefix to the same two upstreams', () => {
    const views = Array.from({length: 100}, (_, index) => createView(index));
    const first = new Set(
      Array.from({length: 50}, () => rank(views, 'prefix')[0]),
    );
    expect(first.size).toBeLessThanOrEqual(2);
  });
});

describe('chooseSubset', () => {
  it('replaces one member when a member leaves', () => {
    const members = Array.from({length: 40}, (_, index) => ({
      id: `u${index}`,
      availabilityZone: `z${index % 3}`,
    }));
    const choose = (list: typeof members) =>
      chooseSubset({
        entryId: 'e',
        availabilityZone: 'z0',
        members: list,
        size: 8,
        minOtherZoneMembers: 2,
      }).map(member => member.id);
    const before = choose(members);
    const after = choose(members.filter(member => member.id !== before[0]));
    expect(before.length).toEqual(8);
    expect(after.filter(id => !before.includes(id)).length).toEqual(1);
  });
});
