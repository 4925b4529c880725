import {describe, it} from 'node:test';
import {createSeededRandom} from '@sardinestile/types';
import {expect} from 'earl';
import {createUpstreamFleet, placeRequest} from '../src/index.js';
import type {UpstreamRecord} from '../src/index.js';

const COLD_START = {durationMs: 3_000, requestsPerS: 10};

const createRecord = (fields: Partial<UpstreamRecord> = {}): UpstreamRecord => {
  const {id = 'a'} = fields;
  return {
    id,
    service: 'pool',
    address: `${id}:1`,
    availabilityZone: 'north',
    places: 8,
    isLeaving: false,
    coldMs: 0,
    startedAtWallMs: 5,
    softwareVersion: 'v1',
    ...fields,
  };
};

const createFleet = (coldStart: typeof COLD_START | undefined = COLD_START) =>
  createUpstreamFleet({
    traitsOf: () => undefined,
    coldStartOf: () => coldStart,
    shortestTargetGapMs: () => Infinity,
    random: createSeededRandom(1),
  });

const createRequest = (requestId: string) => ({
  requestId,
  service: 'pool',
  promptTokens: 0,
  promptParts: [],
  urgency: 1,
  targetLatencyMs: 100,
  triedUpstreamIds: new Set<string>(),
});

describe('cold upstreams of a fleet', () => {
  describe('by their records', () => {
    it('are cold from the moment at which the record is read, then limited less and less', () => {
      const fleet = createFleet();
      const record = createRecord({coldMs: 2_000});
      fleet.membership.put(record, 100);
      const rate = (nowMs: number) =>
        fleet.coldUpstreams.ratePerS(record, nowMs);
      expect(rate(100)).toEqual(10);
      expect(rate(2_099)).toEqual(10);
      expect(rate(3_600)).toEqual(25);
      expect(rate(5_100)).toEqual(undefined);
    });

    it('may become cold again with the same start', () => {
      const fleet = createFleet();
      const {membership, coldUpstreams} = fleet;
      membership.put(createRecord(), 0);
      expect(coldUpstreams.ratePerS(createRecord(), 0)).toEqual(undefined);
      membership.replaceAll([createRecord({coldMs: 3_000})], 1_000);
      expect(coldUpstreams.ratePerS(createRecord(), 1_000)).toEqual(10);
    });

    it('are not affected by a record without a valid time', () => {
      const {membership, coldUpstreams} = createFleet();
      membership.put(createRecord({coldMs: 3_000}), 0);
      membership.put(createRecord({coldMs: undefined}), 1_200);
      expect(coldUpstreams.ratePerS(createRecord(), 2_900)).toEqual(10);
    });

    it('are not limited in a service without a cold rate', () => {
      const fleet = createUpstreamFleet({
        traitsOf: () => undefined,
        shortestTargetGapMs: () => Infinity,
      });
      const record = createRecord({coldMs: 3_000});
      fleet.membership.put(record, 0);
      fleet.coldUpstreams.recordLoss(record, 0);
      fleet.recordZoneReturn('north', 0);
      expect(fleet.coldUpstreams.ratePerS(record, 0)).toEqual(undefined);
      expect(fleet.requestLimits.waitMs(record, 0)).toEqual(0);
      expect(fleet.coldUpstreams.versionOf(record)).toEqual('v1');
    });
  });

  describe('by their responses', () => {
    const start = () => {
      const fleet = createFleet();
      fleet.membership.put(createRecord(), 0);
      return fleet;
    };
    const rateOf = (fleet: ReturnType<typeof start>, nowMs: number) =>
      fleet.coldUpstreams.ratePerS(createRecord(), nowMs);

    it('are cold until a record read more than a heartbeat later says otherwise', () => {
      const fleet = start();
      fleet.coldUpstreams.applyResponse(createRecord(), 3_000, 90, 100);
      // This record may have been written before the response.
      fleet.membership.put(createRecord(), 500);
      expect(rateOf(fleet, 500)).toEqual(10);
      fleet.membership.put(createRecord(), 2_000);
      expect(rateOf(fleet, 2_500)! > 10).toEqual(true);
    });

    it('are not taken for warm by a response to a request of before the record', () => {
      const fleet = start();
      fleet.membership.put(createRecord({coldMs: 3_000}), 1_000);
      fleet.coldUpstreams.applyResponse(createRecord(), 0, 900, 1_100);
      expect(rateOf(fleet, 1_100)).toEqual(10);
      fleet.coldUpstreams.applyResponse(createRecord(), 0, 1_200, 1_300);
      expect(rateOf(fleet, 1_600)! > 10).toEqual(true);
    });
  });

  describe('of a zone that is taken back into service', () => {
    it('are cold for the cold time of their service, and those of other zones are not', () => {
      const fleet = createFleet();
      const other = createRecord({id: 'b', availabilityZone: 'south'});
      fleet.membership.replaceAll([createRecord(), other], 0);
      fleet.recordZoneReturn('north', 1_000);
      const {coldUpstreams} = fleet;
      expect(coldUpstreams.ratePerS(createRecord(), 3_999)).toEqual(10);
      expect(coldUpstreams.ratePerS(createRecord(), 7_000)).toEqual(undefined);
      expect(coldUpstreams.ratePerS(other, 1_000)).toEqual(undefined);
    });
  });

  describe('that were lost', () => {
    const start = () => {
      const fleet = createFleet();
      fleet.membership.put(createRecord(), 0);
      fleet.coldUpstreams.recordLoss(createRecord(), 1_000);
      return fleet;
    };

    it('are cold and of unknown version until the list is a heartbeat later than their answer', () => {
      const {coldUpstreams} = start();
      const isInDoubt = (nowMs: number) =>
        coldUpstreams.ratePerS(createRecord(), nowMs) === 10 &&
        coldUpstreams.versionOf(createRecord()) === undefined;
      coldUpstreams.recordListRead(60_000, 60_000);
      expect(isInDoubt(60_000)).toEqual(true);
      coldUpstreams.recordAnswer(createRecord(), 61_000, 61_010);
      coldUpstreams.recordListRead(62_000, 62_100);
      expect(isInDoubt(62_100)).toEqual(true);
      coldUpstreams.recordListRead(62_600, 62_700);
      expect(isInDoubt(62_700)).toEqual(false);
      expect(coldUpstreams.ratePerS(createRecord(), 62_700)).toEqual(undefined);
      expect(coldUpstreams.versionOf(createRecord())).toEqual('v1');
    });

    it('stay in doubt after an answer to a request of before the loss, or a list without them', () => {
      const {coldUpstreams, membership} = start();
      coldUpstreams.recordAnswer(createRecord(), 990, 1_010);
      coldUpstreams.recordListRead(10_000, 10_000);
      expect(coldUpstreams.versionOf(createRecord())).toEqual(undefined);
      coldUpstreams.recordAnswer(createRecord(), 10_000, 10_010);
      membership.remove('a', 11_000);
      coldUpstreams.recordListRead(20_000, 20_000);
      expect(coldUpstreams.versionOf(createRecord())).toEqual(undefined);
    });

    it('are in doubt again after another loss', () => {
      const {coldUpstreams} = start();
      coldUpstreams.recordAnswer(createRecord(), 1_100, 1_110);
      coldUpstreams.recordLoss(createRecord(), 1_200);
      coldUpstreams.recordListRead(5_000, 5_000);
      expect(coldUpstreams.versionOf(createRecord())).toEqual(undefined);
    });

    it('are another upstream with a later start', () => {
      const {coldUpstreams, membership} = start();
      const next = createRecord({startedAtWallMs: 9, softwareVersion: 'v2'});
      membership.put(next, 2_000);
      expect(coldUpstreams.versionOf(next)).toEqual('v2');
    });

    it('get no stream that goes on, but new requests', () => {
      const fleet = start();
      const place = (softwareVersion?: string) => {
        const request = {...createRequest('r'), softwareVersion};
        return placeRequest(fleet, request, 2_000)?.upstream.id;
      };
      // The first look at the bucket starts it, empty.
      fleet.requestLimits.waitMs(createRecord(), 1_000);
      expect(place('v1')).toEqual(undefined);
      expect(place()).toEqual('a');
    });
  });

  describe('in placement', () => {
    it('get what they can take, while another upstream gets the rest', () => {
      const fleet = createFleet();
      const warm = createRecord({id: 'b'});
      fleet.membership.replaceAll([createRecord({coldMs: 3_000}), warm], 0);
      const counts = new Map<string, number>();
      for (let i = 0; i < 300; i++) {
        const request = createRequest(`r${i}`);
        const nowMs = i * 10;
        const {upstream} = placeRequest(fleet, request, nowMs)!;
        const placed = {...request, upstreamId: upstream.id, uncachedTokens: 0};
        fleet.recordPlacement('self', placed, nowMs);
        counts.set(upstream.id, (counts.get(upstream.id) ?? 0) + 1);
      }
      const cold = counts.get('a')!;
      expect(cold > 15 && cold <= 30).toEqual(true);
      expect(counts.get('b')).toEqual(300 - cold);
    });

    it('are not read for copies of cached prompts, which count as requests', () => {
      const traits = {
        slots: 8,
        memoryTokens: 100_000,
        bytesPerToken: 100,
        transferMbps: 1_000,
      };
      const fleet = createUpstreamFleet({
        traitsOf: () => traits,
        coldStartOf: () => COLD_START,
        shortestTargetGapMs: () => Infinity,
        random: createSeededRandom(1),
      });
      const warm = createRecord({id: 'b'});
      fleet.membership.replaceAll([createRecord(), warm], 0);
      const parts = [
        {id: 'shared', tokens: 4_000},
        {id: 'own', tokens: 10},
      ];
      fleet.upstreamStateOf(createRecord()).cache.restore(parts);
      const place = (nowMs: number) =>
        placeRequest(
          fleet,
          {
            ...createRequest('r'),
            promptTokens: 4_010,
            promptParts: parts,
            triedUpstreamIds: new Set<string>(),
          },
          nowMs,
        )!;
      fleet.upstreamStateOf(createRecord()).running = 8;
      expect(place(0).copyPromptFrom?.id).toEqual('a');
      fleet.membership.put(createRecord({coldMs: 3_000}), 10);
      for (const nowMs of [10, 500, 1_000, 2_000]) {
        expect(place(nowMs).copyPromptFrom).toEqual(undefined);
      }
    });
  });
});
