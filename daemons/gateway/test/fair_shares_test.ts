import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {createUpstreamFleet, type Placement} from '@sardinestile/fleet';
import type {LedgerLink, LedgerUpdate} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import {expect} from 'earl';
import type {Call} from '../src/calls/call.js';
import {
  startFairShares,
  type FairShares,
  type FairSharesOptions,
} from '../src/shared/fair_shares.js';

const NAMES = Array.from({length: 43}, (_, i) => `front-${i}`);

/** A call of an organisation to a plain service. */
const callOf = (name: string) =>
  ({
    organisation: {name, keys: []},
    service: 's',
    urgency: 1,
    route: {name: 'r', targetLatencyMs: 500},
    requestMetadata: {promptTokens: 0},
    attempts: 1,
    arrivedAtMs: 0,
  }) as unknown as Call;

/** A placement at an upstream of 6 slots. */
const placementWith = (running: number) =>
  ({upstream: {places: 6}, state: {running}}) as unknown as Placement;

describe('startFairShares', () => {
  let nowMs = 0;
  let sent: LedgerUpdate[] = [];
  let posted: string[] = [];
  let started: FairShares[] = [];
  const start = (change: Partial<FairSharesOptions> = {}) => {
    const shares = startFairShares({
      instance: NAMES[0],
      settings: {isEnabled: true, outputTokenWeight: 4},
      hasOrganisations: () => true,
      fleet: createUpstreamFleet({
        traitsOf: () => undefined,
        shortestTargetGapMs: () => Infinity,
      }),
      link: {
        send: update => void sent.push(update),
        livePeers: () => [],
      } as Partial<LedgerLink> as LedgerLink,
      group: () => ({index: 0, count: 2}),
      registeredGateways: () =>
        NAMES.map((instance, port) => ({
          instance,
          address: {host: 'h', port},
        })),
      sendGroupUsage: async address => void posted.push(address),
      clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
      logger: {info: () => undefined} as Partial<Logger> as Logger,
      ...change,
    });
    started.push(shares);
    return shares;
  };
  const pass = (ms: number) => {
    nowMs += ms;
    mock.timers.tick(ms);
  };
  beforeEach(() => {
    mock.timers.enable({apis: ['setInterval']});
    nowMs = 0;
    sent = [];
    posted = [];
    started = [];
  });
  afterEach(() => {
    started.forEach(shares => shares.stop());
    mock.timers.reset();
  });

  it('sends its sums once a second, and one message to the other group', () => {
    const shares = start();
    shares.recordDemand(callOf('a'), placementWith(0), nowMs);
    pass(3_000);
    expect(sent.map(({kind}) => kind)).toEqual(['usage', 'usage', 'usage']);
    expect(posted.length).toEqual(3);
  });

  // A call whose connection failed before anything was sent is decided about again.
  it('counts a call once', () => {
    const shares = start();
    const call = callOf('a');
    for (let i = 0; i < 5; i++) {
      shares.recordDemand(call, placementWith(0), nowMs);
      shares.recordAdmission(call, nowMs);
    }
    shares.recordDemand(callOf('b'), placementWith(0), nowMs);
    pass(1_000);
    const [update] = sent as Array<Extract<LedgerUpdate, {kind: 'usage'}>>;
    const demands = update.sums.map(({demandPerS}) => demandPerS);
    expect(demands[0]).toEqual(demands[1]);
  });

  it('sends nothing without usage', () => {
    start();
    pass(3_000);
    expect(sent).toEqual([]);
  });

  // Deployments without organisations, or with sharing off, are served as before.
  for (const [name, change] of Object.entries({
    'the configuration holds no organisations': {hasOrganisations: () => false},
    'sharing is off': {settings: {isEnabled: false, outputTokenWeight: 4}},
  })) {
    it(`does nothing if ${name}`, () => {
      const shares = start(change);
      for (let i = 0; i < 100; i++) {
        const share = shares.recordDemand(
          callOf('a'),
          placementWith(60),
          nowMs,
        );
        expect(share).toEqual(undefined);
        pass(100);
      }
      expect(sent).toEqual([]);
      expect(posted).toEqual([]);
    });
  }

  it('passes the usage of another group on to its own, but no own usage', () => {
    const shares = start();
    const sum = {
      organisation: 'a',
      urgency: 1,
      demandPerS: 9,
      usagePerS: 9,
      usualPerS: 9,
    };
    const report = {service: 's', sums: [sum], gateways: 21, maturity: 21};
    shares.applyGroupUsage({group: 1, reports: [report]});
    shares.applyGroupUsage({group: 0, reports: [report]});
    expect(sent).toEqual([{kind: 'usage', group: 1, ageMs: 0, ...report}]);
  });

  it('finds an organisation beyond its share by what peers report', () => {
    const shares = start();
    const sumOf = (organisation: string, demandPerS: number) => ({
      organisation,
      urgency: 1,
      demandPerS,
      usagePerS: 1_000,
      usualPerS: 1_000,
    });
    const find = (organisation: string) => {
      let share;
      for (let i = 0; i < 20; i++) {
        shares.applyPeerUpdate('front-1', {
          kind: 'usage',
          ageMs: 0,
          service: 's',
          gateways: 1,
          maturity: 1,
          sums: [sumOf('a', 100_000), sumOf('b', 1_000)],
        });
        share = shares.recordDemand(
          callOf(organisation),
          placementWith(18),
          nowMs,
        );
        pass(100);
      }
      return share;
    };
    expect(find('a')!.coveredPart < 0.1).toEqual(true);
    expect(find('b')).toEqual(undefined);
  });
});
