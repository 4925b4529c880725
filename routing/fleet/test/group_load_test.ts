import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  divideUpstreams,
  selectGroup,
  type UpstreamRecord,
} from '../src/index.js';
import {runGroups, type GroupPolicy} from './virtual_groups.js';

const SEEDS = [1, 2, 3];
const POLICIES: readonly GroupPolicy[] = ['dividedByCount', 'shared'];

/** Gateways of the two groups of a fleet of 43. */
const SIZES = [22, 21];

/** Returns the worst results over the seeds and the upstream that crashes, by policy. */
function worstOf(demandSlots: number) {
  return POLICIES.map(policy => {
    const results = SEEDS.flatMap(seed =>
      [0, 1, 2].map(crashed => runGroups(policy, {seed, demandSlots, crashed})),
    );
    const most = (value: (result: (typeof results)[0]) => number) =>
      Math.max(...results.map(value));
    return {
      mean: most(({worstMean}) => worstMean),
      second: most(({worstSecond}) => worstSecond),
      late: most(({lateShare}) => lateShare),
      lateAfterCrash: most(({lateShareAfterCrash}) => lateShareAfterCrash),
    };
  });
}

/** Returns the load of the most loaded group, if demand is 0.75 of the slots. */
function worstUtilisation(
  records: readonly UpstreamRecord[],
  groupOf: (record: UpstreamRecord) => number | undefined,
): number {
  const slots = records.reduce((sum, {places}) => sum + places, 0);
  const utilisations = SIZES.map((size, group) => {
    const own = records
      .filter(record => groupOf(record) === group)
      .reduce((sum, {places}) => sum + places, 0);
    return (0.75 * slots * size) / 43 / own;
  });
  return Math.max(...utilisations);
}

describe('load of groups', () => {
  describe('of 43 gateways before three upstreams with 13 of 18 slots in use', () => {
    const [divided, shared] = worstOf(13);

    it('exceeds the slots of one group if upstreams are divided by count', () => {
      expect(divided.mean > 1).toEqual(true);
      expect(divided.late > 0.5).toEqual(true);
    });

    it('is the same for all gateways if all groups share the upstreams', () => {
      expect(shared.mean < 0.8).toEqual(true);
      expect(shared.second < 1).toEqual(true);
      expect(shared.late < 0.03).toEqual(true);
    });

    it('is no worse with shared upstreams when one of them has crashed', () => {
      // 13 slots in use of 12 are too many for any division.
      expect(shared.lateAfterCrash < divided.lateAfterCrash - 0.1).toEqual(
        true,
      );
    });
  });

  describe('of 43 gateways before three upstreams with 9 of 18 slots in use', () => {
    it('leaves no group without slots when one upstream has crashed', () => {
      const [divided, shared] = worstOf(9);
      expect(shared.lateAfterCrash < 0.05).toEqual(true);
      expect(shared.lateAfterCrash < divided.lateAfterCrash / 2).toEqual(true);
    });
  });

  describe('of 22 and 21 gateways before 35 engines', () => {
    const createEngines = (places: (i: number) => number): UpstreamRecord[] =>
      Array.from({length: 35}, (_, i) => ({
        id: `i-${i}`,
        service: 'engines',
        address: `127.0.0.1:${i}`,
        availabilityZone: 'abcd'[i % 4],
        places: places(i),
        isLeaving: false,
        coldMs: 0,
        startedAtWallMs: 0,
      }));
    const worstBySlots = (records: readonly UpstreamRecord[]) => {
      const groupOf = divideUpstreams(records, SIZES);
      return worstUtilisation(records, ({id}) => groupOf.get(id));
    };
    const worstByCount = (records: readonly UpstreamRecord[]) => {
      const first = selectGroup(records, ({id}) => id, {index: 0, count: 2});
      return worstUtilisation(records, record => +!first.includes(record));
    };

    it('is nearly equal if they have 32 slots each', () => {
      const engines = createEngines(() => 32);
      expect(worstBySlots(engines) < 0.76).toEqual(true);
      expect(worstBySlots(engines) <= worstByCount(engines)).toEqual(true);
    });

    it('is nearly equal if some have 48 slots, as it is not with a division by count', () => {
      // The engines that a division by count gives to the first group have fewer slots.
      const byHash = selectGroup(
        createEngines(() => 32),
        ({id}) => id,
        {index: 0, count: 2},
      );
      const firstIds = new Set(byHash.map(({id}) => id));
      const engines = createEngines(i => (firstIds.has(`i-${i}`) ? 32 : 48));
      expect(worstBySlots(engines) < 0.78).toEqual(true);
      expect(worstByCount(engines) > 0.9).toEqual(true);
    });
  });
});
