import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  assignGroup,
  divideUpstreams,
  groupSizesOf,
  areSharedByGroups,
  type UpstreamRecord,
} from '../src/index.js';

const ZONES = ['a', 'b', 'c', 'd'];

function createRecords(
  count: number,
  {zones = ZONES, places = (_i: number): number => 32} = {},
): UpstreamRecord[] {
  return Array.from({length: count}, (_, i) => ({
    id: `i-${i}`,
    service: 'pool',
    address: `127.0.0.1:${i}`,
    availabilityZone: zones[i % zones.length],
    places: places(i),
    isLeaving: false,
    coldMs: 0,
    startedAtWallMs: 0,
  }));
}

/** Returns the slots of each group. */
function slotsByGroup(
  records: readonly UpstreamRecord[],
  groupOf: ReadonlyMap<string, number>,
  groups: number,
): number[] {
  const slots = Array.from({length: groups}, () => 0);
  for (const {id, places} of records) slots[groupOf.get(id)!] += places;
  return slots;
}

const sum = (values: readonly number[]) => values.reduce((a, b) => a + b, 0);

const FLEETS = [
  {gateways: 32, sizes: [32]},
  {gateways: 43, sizes: [22, 21]},
  {gateways: 68, sizes: [23, 23, 22]},
];

describe('areSharedByGroups', () => {
  it('shares nothing in a fleet with one group', () => {
    expect(areSharedByGroups(1, 1)).toEqual(false);
  });

  it('shares a service whose groups would depend on a few upstreams', () => {
    expect(areSharedByGroups(3, 2)).toEqual(true);
    expect(areSharedByGroups(15, 2)).toEqual(true);
    expect(areSharedByGroups(16, 2)).toEqual(false);
    expect(areSharedByGroups(35, 2)).toEqual(false);
  });

  it('bounds the datagrams of large fleets, but leaves no group without upstreams', () => {
    expect(areSharedByGroups(31, 14)).toEqual(true);
    expect(areSharedByGroups(32, 14)).toEqual(false);
    expect(areSharedByGroups(39, 40)).toEqual(true);
  });
});

describe('divideUpstreams', () => {
  for (const {gateways, sizes} of FLEETS) {
    describe(`between ${sizes.length} groups of ${gateways} gateways`, () => {
      it('gets the sizes that the groups have', () => {
        const names = Array.from({length: gateways}, (_, i) => `front-${i}`);
        const counted = sizes.map(() => 0);
        for (const name of names) counted[assignGroup(name, names).index]++;
        const group = assignGroup(names[0], names);
        expect(groupSizesOf(group)).toEqual(counted);
        expect(counted).toEqual(sizes);
      });

      for (const kind of ['equal', 'different'] as const) {
        it(`gives each its share of the slots, within one upstream, if they have ${kind} numbers`, () => {
          const places = (i: number) =>
            kind === 'equal' || i % 3 > 0 ? 32 : 48;
          const most = kind === 'equal' ? 32 : 48;
          for (let count = 1; count <= 40; count++) {
            const records = createRecords(count, {places});
            const groupOf = divideUpstreams(records, sizes);
            expect(groupOf.size).toEqual(count);
            const slots = slotsByGroup(records, groupOf, sizes.length);
            const total = sum(slots);
            slots.forEach((own, group) => {
              const share = (total * sizes[group]) / gateways;
              expect(Math.abs(own - share) <= most).toEqual(true);
            });
          }
        });
      }

      it('gives each its share in every zone, within two upstreams', () => {
        for (let count = 1; count <= 40; count++) {
          const records = createRecords(count);
          const groupOf = divideUpstreams(records, sizes);
          for (const zone of ZONES) {
            const inZone = records.filter(r => r.availabilityZone === zone);
            const slots = slotsByGroup(inZone, groupOf, sizes.length);
            slots.forEach((own, group) => {
              const share = (sum(slots) * sizes[group]) / gateways;
              expect(Math.abs(own - share) < 2 * 32).toEqual(true);
            });
          }
        }
      });

      it('does not depend on the order of the list', () => {
        const records = createRecords(40);
        const groupOf = divideUpstreams([...records].reverse(), sizes);
        for (const [id, group] of divideUpstreams(records, sizes)) {
          expect(groupOf.get(id)).toEqual(group);
        }
      });

      it('moves few upstreams when one is removed or added', () => {
        for (let count = 2; count <= 40; count++) {
          const records = createRecords(count);
          const before = divideUpstreams(records, sizes);
          for (const removed of records) {
            const rest = records.filter(record => record !== removed);
            const after = divideUpstreams(rest, sizes);
            const moved = rest.filter(
              ({id}) => before.get(id) !== after.get(id),
            ).length;
            const boundaries = sizes.length - 1;
            expect(moved <= boundaries * ZONES.length).toEqual(true);
          }
        }
      });
    });
  }

  it('gives 35 engines with 32 slots to groups of 22 and 21 by their gateways', () => {
    const records = createRecords(35);
    const groupOf = divideUpstreams(records, [22, 21]);
    expect(slotsByGroup(records, groupOf, 2)).toEqual([18 * 32, 17 * 32]);
  });

  it('moves few of 1,000 upstreams of one zone between 14 groups', () => {
    const sizes = Array.from({length: 14}, () => 30);
    const records = createRecords(1_000, {zones: ['a']});
    const before = divideUpstreams(records, sizes);
    const after = divideUpstreams(
      records.filter(({id}) => id !== 'i-500'),
      sizes,
    );
    const moved = [...after].filter(([id, group]) => before.get(id) !== group);
    expect(moved.length <= 14).toEqual(true);
  });

  describe('by gateways that know different lists', () => {
    const records = createRecords(40);
    const groupOf = divideUpstreams(records, [22, 21]);
    const differing = (other: ReadonlyMap<string, number>) =>
      [...other].filter(([id, group]) => groupOf.get(id) !== group).length;

    it('differs at few upstreams if one does not know of a change yet', () => {
      for (const {id: missing} of records) {
        const rest = records.filter(({id}) => id !== missing);
        const other = divideUpstreams(rest, [22, 21]);
        expect(differing(other) <= ZONES.length).toEqual(true);
      }
    });

    it('differs at few upstreams if one does not know all gateways yet', () => {
      for (const sizes of [
        [21, 21],
        [22, 22],
        [20, 20],
      ]) {
        const other = divideUpstreams(records, sizes);
        expect(differing(other) <= ZONES.length).toEqual(true);
      }
    });
  });

  it('keeps upstreams without slots in the division', () => {
    const records = createRecords(40, {places: () => 0});
    const groupOf = divideUpstreams(records, [22, 21]);
    expect(new Set(groupOf.values()).size).toEqual(2);
  });
});
