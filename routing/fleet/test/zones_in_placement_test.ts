import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createUpstreamFleet, placeRequest} from '../src/index.js';

const SHARED_PART = {id: 'p', tokens: 4_000};
const OWN_PART = {id: 'own', tokens: 10};

const recordOf = (id: string, availabilityZone: string, service = 's') => ({
  id,
  service,
  address: `${id}:1`,
  availabilityZone,
  places: 6,
  isLeaving: false,
  coldMs: 0,
  startedAtWallMs: 0,
});

/** Returns a fleet with two upstreams in each of zones x and y. */
function createFleet() {
  const fleet = createUpstreamFleet({
    traitsOf: () => ({
      slots: 6,
      memoryTokens: 100_000,
      bytesPerToken: 100,
      transferMbps: 100_000,
    }),
    shortestTargetGapMs: () => Infinity,
  });
  for (const [id, zone] of [
    ['x1', 'x'],
    ['x2', 'x'],
    ['y1', 'y'],
    ['y2', 'y'],
  ]) {
    fleet.membership.put(recordOf(id, zone), 0);
  }
  return fleet;
}

const createRequest = (tried: string[] = []) => ({
  requestId: 'r',
  service: 's',
  promptTokens: SHARED_PART.tokens + OWN_PART.tokens,
  promptParts: [SHARED_PART, OWN_PART],
  urgency: 1,
  targetLatencyMs: 100,
  triedUpstreamIds: new Set(tried),
});

const zoneOf = (placed: ReturnType<typeof placeRequest>) =>
  placed?.upstream.availabilityZone;

describe('placement with a zone out of service', () => {
  it('chooses no upstream of the zone, also for a retry', () => {
    const fleet = createFleet();
    fleet.membership.setZonesOutOfService(new Set(['x']));
    expect(zoneOf(placeRequest(fleet, createRequest(), 0))).toEqual('y');
    expect(zoneOf(placeRequest(fleet, createRequest(['y1']), 0))).toEqual('y');
    expect(placeRequest(fleet, createRequest(['y1', 'y2']), 0)).toEqual(
      undefined,
    );
  });

  it('copies no prompt from an upstream of the zone', () => {
    const fleet = createFleet();
    const source = fleet.membership.get('x1')!;
    fleet.upstreamStateOf(source).cache.restore([SHARED_PART]);
    // The source is full, so that another upstream copies from it.
    for (let i = 0; i < source.places; i++) {
      const request = {...createRequest(), requestId: `full-${i}`};
      const placed = {...request, upstreamId: 'x1', uncachedTokens: 0};
      fleet.recordPlacement('self', placed, 0);
    }
    const before = placeRequest(fleet, createRequest(), 0)!;
    expect(before.copyPromptFrom?.id).toEqual('x1');
    fleet.membership.setZonesOutOfService(new Set(['x']));
    const placed = placeRequest(fleet, createRequest(), 0)!;
    expect(placed.copyPromptFrom).toEqual(undefined);
  });

  it('holds for the fallback to upstreams of other groups', () => {
    const fleet = createFleet();
    fleet.setGroup({index: 0, count: 2});
    const group = fleet.upstreamsOf('s').map(({id}) => id);
    fleet.membership.setZonesOutOfService(new Set(['x']));
    for (let i = 0; i < 4; i++) {
      const placed = placeRequest(fleet, createRequest(group), i);
      expect(['y', undefined]).toInclude(zoneOf(placed));
    }
  });

  it('holds for upstreams that register in the zone later', () => {
    const fleet = createFleet();
    fleet.membership.setZonesOutOfService(new Set(['x']));
    fleet.membership.put(recordOf('x3', 'x'), 0);
    const usable = fleet.membership.usableUpstreamsOf('s');
    expect(usable.map(({id}) => id)).toEqual(['y1', 'y2']);
  });

  it('uses the upstreams again after the return of the zone', () => {
    const fleet = createFleet();
    fleet.membership.setZonesOutOfService(new Set(['x']));
    fleet.membership.setZonesOutOfService(new Set());
    expect(fleet.membership.usableUpstreamsOf('s').length).toEqual(4);
  });

  describe('tells a service whose zones are all out', () => {
    it('from one with an upstream elsewhere, or with none', () => {
      const {membership} = createFleet();
      membership.put(recordOf('x9', 'x', 'only-x'), 0);
      membership.setZonesOutOfService(new Set(['x']));
      expect(membership.isServiceOutOfService('only-x')).toEqual(true);
      expect(membership.isServiceOutOfService('s')).toEqual(false);
      expect(membership.isServiceOutOfService('absent')).toEqual(false);
    });

    it('from one whose upstreams all leave', () => {
      const {membership} = createFleet();
      const leaving = {...recordOf('x9', 'x', 'only-x'), isLeaving: true};
      membership.put(leaving, 0);
      membership.setZonesOutOfService(new Set(['x']));
      expect(membership.isServiceOutOfService('only-x')).toEqual(false);
    });
  });
});
