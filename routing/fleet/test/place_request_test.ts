import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createUpstreamFleet, placeRequest} from '../src/index.js';

const UPSTREAMS = ['a', 'b', 'c'];

function createFleet() {
  const fleet = createUpstreamFleet({
    traitsOf: () => undefined,
    shortestTargetGapMs: () => Infinity,
  });
  for (const id of UPSTREAMS) {
    const record = {
      id,
      service: 's',
      address: `${id}:1`,
      availabilityZone: 'z',
      places: 6,
      isLeaving: false,
      coldMs: 0,
      startedAtWallMs: 0,
    };
    fleet.membership.put(record, 0);
  }
  return fleet;
}

const createRequest = (requestId: string) => ({
  requestId,
  service: 's',
  promptTokens: 0,
  promptParts: [],
  urgency: 1,
  targetLatencyMs: 100,
  triedUpstreamIds: new Set<string>(),
});

describe('placeRequest for requests without prompts', () => {
  it('spreads requests evenly that follow each other', () => {
    const fleet = createFleet();
    const counts = new Map(UPSTREAMS.map(id => [id, 0]));
    for (let i = 0; i < 300; i++) {
      const {upstream} = placeRequest(fleet, createRequest(`r${i}`), i)!;
      counts.set(upstream.id, counts.get(upstream.id)! + 1);
    }
    for (const count of counts.values()) {
      expect(count > 70 && count < 130).toEqual(true);
    }
  });

  it('chooses the upstream with the fewest running requests', () => {
    const fleet = createFleet();
    for (let i = 0; i < 12; i++) {
      const request = createRequest(`r${i}`);
      const {upstream} = placeRequest(fleet, request, 0)!;
      fleet.recordPlacement(
        'self',
        {...request, upstreamId: upstream.id, uncachedTokens: 0},
        0,
      );
    }
    const running = fleet.membership
      .all()
      .map(record => fleet.upstreamStateOf(record).running);
    expect(running).toEqual([4, 4, 4]);
  });
});
