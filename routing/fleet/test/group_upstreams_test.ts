import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGroupUpstreams,
  createUpstreamFleet,
  divideUpstreams,
  placeRequest,
  type DivisionChange,
  type UpstreamRecord,
} from '../src/index.js';

const SERVICE = 'pool';
const SIZES = [22, 21];

function createRecords(count: number): UpstreamRecord[] {
  return Array.from({length: count}, (_, i) => ({
    id: `i-${i}`,
    service: SERVICE,
    address: `127.0.0.1:${i}`,
    availabilityZone: 'abcd'[i % 4],
    places: 32,
    isLeaving: false,
    coldMs: 0,
    startedAtWallMs: 0,
  }));
}

/** Creates the upstreams of the first of two groups, with a list that can be replaced. */
function createFirstGroup(count: number) {
  let records = createRecords(count);
  const running = new Map<string, number>();
  const changes: DivisionChange[] = [];
  const upstreams = createGroupUpstreams({
    usableUpstreamsOf: () => records,
    runningAt: ({id}) => running.get(id) ?? 0,
    onChange: change => changes.push(change),
  });
  upstreams.setGroup({index: 0, count: 2, gateways: 43});
  upstreams.upstreamsOf(SERVICE);
  return {
    upstreams,
    changes,
    running,
    records: () => records,
    replace: (next: UpstreamRecord[]) => void (records = next),
  };
}

/** Returns an upstream whose loss moves another one to the first group, and that one. */
function findMove(): {lost: string; gained: UpstreamRecord} {
  const records = createRecords(35);
  const before = divideUpstreams(records, SIZES);
  for (const {id: lost} of records) {
    const rest = records.filter(({id}) => id !== lost);
    const after = divideUpstreams(rest, SIZES);
    const gained = rest.find(
      ({id}) => before.get(id) === 1 && after.get(id) === 0,
    );
    if (gained) return {lost, gained};
  }
  throw new Error('no upstream moves');
}

describe('createGroupUpstreams', () => {
  describe('of an upstream that comes from another group', () => {
    const {lost, gained} = findMove();
    const move = () => {
      const first = createFirstGroup(35);
      const own = first.upstreams.upstreamsOf(SERVICE);
      own.forEach(({id}) => first.running.set(id, 24));
      first.replace(first.records().filter(({id}) => id !== lost));
      first.upstreams.upstreamsOf(SERVICE);
      return first;
    };

    it('counts the load of the others at first, and none after a while', () => {
      const {upstreams} = move();
      const requests = [5_000, 10_000, 15_000, 99_000].map(nowMs =>
        Math.round(upstreams.unheardRequests(gained, nowMs)),
      );
      expect(requests).toEqual([24, 12, 0, 0]);
    });

    it('reports the move', () => {
      const {changes} = move();
      const last = changes.at(-1)!;
      expect(last.gainedIds.includes(gained.id)).toEqual(true);
      expect(last.unheardPerSlot).toEqual(0.75);
      expect(last.usableUpstreams).toEqual(34);
      expect(last.isShared).toEqual(false);
    });

    it('stops at once in the group that gives it up', () => {
      const first = createFirstGroup(35);
      const rest = first.records().filter(({id}) => id !== lost);
      first.replace(rest);
      first.upstreams.upstreamsOf(SERVICE);
      first.replace(createRecords(35));
      const ids = first.upstreams.upstreamsOf(SERVICE).map(({id}) => id);
      expect(ids.includes(gained.id)).toEqual(false);
      expect(first.changes.at(-1)!.releasedIds.includes(gained.id)).toEqual(
        true,
      );
    });
  });

  it('counts nothing at an upstream that is new', () => {
    const first = createFirstGroup(35);
    first.running.set('i-0', 30);
    const records = createRecords(36);
    first.replace(records);
    first.upstreams.upstreamsOf(SERVICE);
    expect(first.upstreams.unheardRequests(records[35], 0)).toEqual(0);
  });

  it('reports nothing and counts nothing in a fleet with one group', () => {
    const changes: DivisionChange[] = [];
    let records = createRecords(35);
    const upstreams = createGroupUpstreams({
      usableUpstreamsOf: () => records,
      runningAt: () => 20,
      onChange: change => changes.push(change),
    });
    for (const gateways of [30, 31, 32]) {
      upstreams.setGroup({index: 0, count: 1, gateways});
      expect(upstreams.upstreamsOf(SERVICE)).toEqual(records);
      records = records.slice(1);
    }
    expect(changes).toEqual([]);
    expect(upstreams.isShared(SERVICE)).toEqual(false);
    expect(upstreams.groupShare()).toEqual(1);
  });

  it('counts load at the upstreams that all groups share from now on', () => {
    const first = createFirstGroup(16);
    const own = first.upstreams.upstreamsOf(SERVICE);
    own.forEach(({id}) => first.running.set(id, 16));
    const ownIds = new Set(own.map(({id}) => id));
    const lost = own[0].id;
    first.replace(first.records().filter(({id}) => id !== lost));
    expect(first.upstreams.upstreamsOf(SERVICE).length).toEqual(15);
    for (const record of first.records()) {
      const requests = ownIds.has(record.id) ? 0 : 16;
      expect(first.upstreams.unheardRequests(record, 0)).toEqual(requests);
    }
  });

  it('leaves out upstreams that are leaving, whichever group had them', () => {
    const fleet = createUpstreamFleet({
      traitsOf: () => undefined,
      shortestTargetGapMs: () => Infinity,
    });
    fleet.setGroup({index: 0, count: 2, gateways: 43});
    const records = createRecords(36);
    records.forEach(record => fleet.membership.put(record, 0));
    const [left] = fleet.upstreamsOf(SERVICE);
    fleet.membership.markLeaving(left);
    const rest = records.filter(({id}) => id !== left.id);
    const groupOf = divideUpstreams(rest, SIZES);
    const expected = rest.filter(({id}) => groupOf.get(id) === 0);
    const ids = fleet.upstreamsOf(SERVICE).map(({id}) => id);
    expect(ids.sort()).toEqual(expected.map(({id}) => id).sort());
  });

  describe('placement', () => {
    it('sends requests to a gained upstream only as far as it may have free slots', () => {
      const {lost, gained} = findMove();
      const fleet = createUpstreamFleet({
        traitsOf: () => undefined,
        shortestTargetGapMs: () => Infinity,
      });
      fleet.setGroup({index: 0, count: 2, gateways: 43});
      createRecords(35).forEach(record => fleet.membership.put(record, 0));
      let requests = 0;
      const place = (nowMs: number) => {
        const requestId = `r${requests++}`;
        const request = {requestId, promptTokens: 0, promptParts: []};
        const {upstream} = placeRequest(
          fleet,
          {
            ...request,
            service: SERVICE,
            urgency: 1,
            targetLatencyMs: 100,
            triedUpstreamIds: new Set<string>(),
          },
          nowMs,
        )!;
        const placed = {...request, uncachedTokens: 0, urgency: 1};
        fleet.recordPlacement('g', {...placed, upstreamId: upstream.id}, nowMs);
        return upstream.id;
      };
      const own = fleet.upstreamsOf(SERVICE).length;
      for (let i = 0; i < own * 20; i++) place(0);
      fleet.membership.remove(lost, 100_000);
      const toGained = Array.from({length: own}, () => place(100)).filter(
        id => id === gained.id,
      );
      // Without the assumed load it would get all of them.
      expect(toGained.length <= 3).toEqual(true);
    });
  });
});
