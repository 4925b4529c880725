import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createUpstreamFleet} from '../src/index.js';

const createFleetWith = (upstreams: number) => {
  const fleet = createUpstreamFleet({
    traitsOf: () => undefined,
    shortestTargetGapMs: () => Infinity,
  });
  for (let i = 0; i < upstreams; i++) {
    const record = {
      id: `u${i}`,
      service: 'pool',
      address: `127.0.0.1:${i}`,
      availabilityZone: 'a',
      places: 4,
      isLeaving: false,
      coldMs: 0,
      startedAtWallMs: 0,
    };
    fleet.membership.put(record, 0);
  }
  fleet.setGroup({index: 0, count: 3});
  return fleet;
};

describe('createUpstreamFleet', () => {
  describe('with several groups of gateways', () => {
    it('divides the upstreams of a service if there are enough', () => {
      const fleet = createFleetWith(24);
      expect(fleet.upstreamsOf('pool').length).toEqual(8);
      expect(fleet.isSharedByGroups('pool')).toEqual(false);
    });

    it('lets all groups send to them if there are fewer than eight a group', () => {
      for (const upstreams of [2, 6, 23]) {
        const fleet = createFleetWith(upstreams);
        expect(fleet.upstreamsOf('pool').length).toEqual(upstreams);
        expect(fleet.isSharedByGroups('pool')).toEqual(true);
      }
    });

    it('leaves a third of a stated limit to each group that sends to the upstream', () => {
      for (const [upstreams, waitMs] of [
        [24, 1_000],
        [2, 3_000],
      ]) {
        const {requestLimits, upstreamsOf} = createFleetWith(upstreams);
        const [upstream] = upstreamsOf('pool');
        requestLimits.state(upstream, 1, 0);
        expect(Math.round(requestLimits.waitMs(upstream, 0))).toEqual(waitMs);
      }
    });

    it('divides a stated limit between groups of different sizes by their gateways', () => {
      const ratesPerS = [0, 1].map(index => {
        const fleet = createFleetWith(3);
        fleet.setGroup({index, count: 2, gateways: 43});
        const [upstream] = fleet.upstreamsOf('pool');
        fleet.requestLimits.state(upstream, 10, 0);
        return 1_000 / fleet.requestLimits.waitMs(upstream, 0);
      });
      const [first, second] = ratesPerS;
      expect(Math.round(first + second)).toEqual(10);
      expect(Math.round(first * 43)).toEqual(220);
    });
  });
});
