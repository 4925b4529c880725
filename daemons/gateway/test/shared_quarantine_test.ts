import {afterEach, beforeEach, describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import type {TableService} from '@sardinestile/ports';
import type {EvidenceItem, UpstreamCrash} from '@sardinestile/quarantine';
import {expect} from 'earl';
import type {FleetReporter} from '../src/shared/fleet_reporter.js';
import {
  startSharedQuarantine,
  type SharedQuarantine,
} from '../src/shared/shared_quarantine.js';

const NOW_MS = 1_000_000;

const crashWith = (parts: number): UpstreamCrash => ({
  kind: 'crash',
  upstreamId: 'u1',
  startedAtWallMs: 0,
  atMs: NOW_MS,
  parts: Array.from({length: parts}, (_, i) => ({
    id: `request:${i}`,
    depth: 1,
  })),
});

describe('startSharedQuarantine', () => {
  let reported: EvidenceItem[];
  let writes: number;
  let shared: SharedQuarantine;
  beforeEach(() => {
    reported = [];
    writes = 0;
    const table = {
      get: () => Promise.resolve(undefined),
      transact() {
        writes++;
        return Promise.resolve({committed: true});
      },
    } as unknown as TableService;
    shared = startSharedQuarantine({
      instance: 'front-1',
      table,
      fleetTimeMs: () => NOW_MS,
      livePeers: () => [],
      registeredNames: () => ['front-1'],
      hasUnheardGateways: () => false,
      reporter: {
        reportEvidence: (item: EvidenceItem) => void reported.push(item),
      } as FleetReporter,
      logger: createLogger({level: 'info', write: () => undefined}),
      metrics: createMetricsRegistry(),
    });
  });
  afterEach(() => shared.stop());

  it('tells the peers of an own crash at once, in items that fit into datagrams', () => {
    shared.quarantine.record(crashWith(50), 'own');
    expect(reported.length).toEqual(2);
  });

  it('does not pass on at once what a peer has told', () => {
    shared.recordFromPeer(crashWith(1));
    expect(reported).toEqual([]);
  });

  it('stores what a peer has told', async () => {
    shared.recordFromPeer(crashWith(1));
    await new Promise(resolve => setTimeout(resolve, 700));
    expect(writes).toEqual(1);
  });
});
