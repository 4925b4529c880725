import {describe, it, type TestContext} from 'node:test';
import {createUpstreamFleet} from '@sardinestile/fleet';
import {createLogger} from '@sardinestile/logger';
import type {RoutedService} from '@sardinestile/route_table';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {startScalingDuties} from '../src/duties/scaling_duties.js';

const ZONE = 'a';

/** Returns the number of upstreams that is ordered for 18 slots and 18 known requests. */
async function orderFor(
  groups: number,
  timers: TestContext['mock']['timers'],
): Promise<number | undefined> {
  const clock = createSystemClock();
  const fleet = createUpstreamFleet({
    traitsOf: () => undefined,
    shortestTargetGapMs: () => Infinity,
  });
  for (let i = 0; i < 3; i++) {
    fleet.membership.put(
      {
        id: `u${i}`,
        service: 'pool',
        address: `127.0.0.1:${i}`,
        availabilityZone: ZONE,
        places: 6,
        isLeaving: false,
        coldMs: 0,
        startedAtWallMs: 1,
      },
      0,
    );
  }
  fleet.setGroup({index: 0, count: groups, gateways: groups * 22});
  for (let i = 0; i < 18; i++) {
    const request = {requestId: `r${i}`, upstreamId: `u${i % 3}`};
    const prompt = {promptParts: [], uncachedTokens: 0, promptTokens: 0};
    fleet.recordPlacement(
      'other',
      {...request, ...prompt, urgency: 1},
      clock.monotonicMs(),
      groups > 1,
    );
  }
  const scaling = {minPerZone: 1, maxPerZone: 20, bootMs: 1_000};
  const service = {name: 'pool', scaling} as unknown as RoutedService;
  let ordered: number | undefined;
  timers.enable({apis: ['setInterval']});
  const duties = startScalingDuties({
    upstreamScaler: {
      setCount({count}) {
        ordered = count;
        return Promise.resolve();
      },
    },
    services: () => [service],
    fleet,
    fleetToGroupRatio: () => groups,
    fencingToken: () => 1,
    clock,
    logger: createLogger({level: 'error'}),
  });
  for (let i = 0; i < 5 && ordered === undefined; i++) timers.tick(2_000);
  duties.stop();
  await Promise.resolve();
  return ordered;
}

describe('startScalingDuties', () => {
  // The demand of shared upstreams is known whole; multiplied by the number of
  // groups it would order twice as many as needed.
  it('orders as many upstreams for a shared service as in a fleet with one group', async t => {
    const alone = await orderFor(1, t.mock.timers);
    t.mock.timers.reset();
    const shared = await orderFor(2, t.mock.timers);
    expect(alone !== undefined).toEqual(true);
    expect(shared).toEqual(alone);
  });
});
