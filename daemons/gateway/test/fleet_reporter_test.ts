import {describe, it} from 'node:test';
import {createStreamOrigins} from '@sardinestile/continuation';
import {createUpstreamFleet, type PlacedRequest} from '@sardinestile/fleet';
import type {LedgerUpdate} from '@sardinestile/ledger';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {createFleetReporter} from '../src/shared/fleet_reporter.js';

const TWO_GROUPS = {index: 0, count: 2, gateways: 43};

function createReporter(upstreams: number) {
  const fleet = createUpstreamFleet({
    traitsOf: () => undefined,
    shortestTargetGapMs: () => Infinity,
  });
  const putUpstream = (i: number, softwareVersion?: string) =>
    fleet.membership.put(
      {
        id: `u${i}`,
        service: 'pool',
        address: `127.0.0.1:${i}`,
        availabilityZone: 'a',
        places: 6,
        isLeaving: false,
        coldMs: 0,
        startedAtWallMs: 1,
        softwareVersion,
      },
      0,
    );
  for (let i = 0; i < upstreams; i++) putUpstream(i);
  fleet.setGroup(TWO_GROUPS);
  const sent: Array<{kind: string; isForAllGroups: boolean}> = [];
  const origins = createStreamOrigins();
  const reporter = createFleetReporter({
    instance: 'self',
    fleet,
    link: {
      send: ({kind}: LedgerUpdate, _isUrgent, isForAllGroups = false) =>
        void sent.push({kind, isForAllGroups}),
      open: () => Promise.resolve(),
      joinFleet: () => undefined,
      setAddresses: () => undefined,
      livePeers: () => [],
      close: () => undefined,
    },
    clock: createSystemClock(),
    streamOrigins: () => origins,
    onUsage: () => undefined,
    onEvidence: () => {
      throw new Error('unexpected evidence');
    },
  });
  return {fleet, reporter, sent, origins, putUpstream};
}

const placedAt = (upstreamId: string, requestId = 'r'): PlacedRequest => ({
  requestId,
  upstreamId,
  promptParts: [],
  uncachedTokens: 0,
  promptTokens: 0,
  urgency: 1,
});

const runOneRequest = ({reporter}: ReturnType<typeof createReporter>) => {
  reporter.recordPlacement(placedAt('u0'), 0);
  reporter.recordFirstEvent('u0', 'r', {service: 'pool'}, 1);
  reporter.recordEnd('u0', 'r', false, 2);
};

describe('createFleetReporter', () => {
  describe('with several groups', () => {
    it('tells all of them about requests at shared upstreams', () => {
      const gateway = createReporter(3);
      runOneRequest(gateway);
      gateway.reporter.recordLimit('u0', 1, 5);
      gateway.reporter.recordLeaving('u0', 1);
      expect(gateway.sent.map(({kind}) => kind)).toEqual([
        'placed',
        'firstEvent',
        'ended',
        'limit',
        'leaving',
      ]);
      expect(gateway.sent.every(({isForAllGroups}) => isForAllGroups)).toEqual(
        true,
      );
    });

    it('tells its own group only about the others', () => {
      const gateway = createReporter(16);
      runOneRequest(gateway);
      expect(gateway.sent.some(({isForAllGroups}) => isForAllGroups)).toEqual(
        false,
      );
    });

    it('tells all groups of the end of a request of whose start it told them', () => {
      const gateway = createReporter(15);
      gateway.reporter.recordPlacement(placedAt('u0'), 0);
      gateway.putUpstream(15);
      expect(gateway.fleet.isSharedByGroups('pool')).toEqual(false);
      gateway.reporter.recordEnd('u0', 'r', false, 2);
      expect(gateway.sent.at(-1)).toEqual({
        kind: 'ended',
        isForAllGroups: true,
      });
    });
  });

  describe('the first event of a stream at a peer', () => {
    const firstEvent = {
      kind: 'firstEvent',
      requestId: 'r',
      upstreamId: 'u9',
    } as const;
    const originOf = (
      {reporter, origins}: ReturnType<typeof createReporter>,
      event: Extract<LedgerUpdate, {kind: 'firstEvent'}>,
    ) => {
      reporter.applyPeerUpdate('peer', event, false);
      const origin = origins.originOf('r', createSystemClock().monotonicMs());
      return origin && [origin.service, origin.softwareVersion];
    };

    // Guards against a resume that is placed by a list which is behind that of the peer.
    it('is remembered with the version and service that the peer states, also of an unknown upstream', () => {
      const origin = {softwareVersion: 'v2', service: 'other'};
      const event = {...firstEvent, ...origin};
      expect(originOf(createReporter(1), event)).toEqual(['other', 'v2']);
      const listed = {...event, upstreamId: 'u0'};
      const gateway = createReporter(1);
      gateway.putUpstream(0, 'v1');
      expect(originOf(gateway, listed)).toEqual(['other', 'v2']);
    });

    it('is not remembered if the peer does not know the version', () => {
      const gateway = createReporter(1);
      gateway.putUpstream(0, 'v1');
      const event = {...firstEvent, upstreamId: 'u0', service: 'pool'};
      expect(originOf(gateway, event)).toEqual(undefined);
    });

    it('is remembered by the list if the build of the peer states neither', () => {
      const gateway = createReporter(1);
      gateway.putUpstream(0, 'v1');
      const event = {...firstEvent, upstreamId: 'u0'};
      expect(originOf(gateway, event)).toEqual(['pool', 'v1']);
      expect(originOf(createReporter(1), firstEvent)).toEqual(undefined);
    });
  });

  it('tells its group only in a fleet with one group', () => {
    const gateway = createReporter(3);
    gateway.fleet.setGroup({index: 0, count: 1, gateways: 32});
    runOneRequest(gateway);
    expect(gateway.sent.some(({isForAllGroups}) => isForAllGroups)).toEqual(
      false,
    );
  });

  describe('updates of another group', () => {
    it('count as load, but not against the share of a stated limit', () => {
      const {fleet, reporter} = createReporter(3);
      const record = fleet.membership.get('u0')!;
      fleet.requestLimits.state(record, 10, 0);
      const waitMs = fleet.requestLimits.waitMs(record, 1_000);
      const placed = {kind: 'placed', ...placedAt('u0')} as const;
      const update = {...placed, promptParts: []};
      reporter.applyPeerUpdate('other', update, true);
      const {running} = fleet.upstreamStateOf(record);
      expect(running).toEqual(1);
      expect(fleet.requestLimits.waitMs(record, 1_000)).toEqual(waitMs);
      const ended = {kind: 'ended', requestId: 'r', upstreamId: 'u0'} as const;
      reporter.applyPeerUpdate('other', ended, true);
      expect(fleet.upstreamStateOf(record).running).toEqual(0);
    });

    it('of other kinds are ignored, since evidence spreads by the store', () => {
      const {reporter} = createReporter(3);
      const update = {kind: 'answer', partId: 'p', atMs: 1} as const;
      reporter.applyPeerUpdate('other', update, true);
    });
  });
});
