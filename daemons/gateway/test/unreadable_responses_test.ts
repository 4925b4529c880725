import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createUpstreamFleet} from '@sardinestile/fleet';
import {createLogger} from '@sardinestile/logger';
import type {FeedEntry, Row, TableService} from '@sardinestile/ports';
import type {OperatorRecord, RouteTable} from '@sardinestile/route_table';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {createConfigView} from '../src/shared/config_view.js';
import {startPeerRegistry} from '../src/shared/peer_registry.js';
import {createZoneView} from '../src/shared/zone_view.js';

const clock = createSystemClock();
const logger = createLogger({level: 'error', write: () => undefined});

/** Time after which a row is read again, with some to spare, in milliseconds. */
const REREAD_MS = 1_500;

const table = (version: number): RouteTable => ({
  version,
  routes: [],
  services: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

const configuration = (version: number): FeedEntry<OperatorRecord> => ({
  key: 'config',
  value: {kind: 'routeTable', table: table(version)},
  findings: [],
});

/** Entries of responses that spoilt the row of a newer configuration, or of a zone. */
const UNREADABLE: Readonly<Record<string, FeedEntry<OperatorRecord>>> = {
  'a configuration': {key: 'config', value: undefined, findings: ['spoilt']},
  'a zone': {
    key: 'evacuate/a',
    value: {
      kind: 'invalidZone',
      row: 'evacuate/a',
      reason: 'spoilt',
      storeVersion: 8,
    },
    findings: [],
  },
};

describe('responses of the store in which a row cannot be read', () => {
  for (const [name, entry] of Object.entries(UNREADABLE)) {
    it(`let ${name} be read again`, async () => {
      let reads = 0;
      let waits = 0;
      const fleet = createUpstreamFleet({
        traitsOf: () => undefined,
        shortestTargetGapMs: () => Infinity,
      });
      const unused = () => Promise.reject(new Error('not used'));
      const view = createConfigView({
        feed: {
          async readAll() {
            reads++;
            return {entries: [configuration(reads)], version: 6 + reads};
          },
          async waitForChanges(version) {
            if (waits++ > 0) await sleep(100);
            const entries = waits === 1 ? [entry] : [];
            return {kind: 'changes', page: {entries, version: version + 1}};
          },
        },
        zones: createZoneView({
          fleet,
          rewriteTimeMs: 2_500,
          onChanged: () => undefined,
          clock,
          logger,
        }),
        waitMs: 100,
        minIntervalMs: () => 0,
        clock,
        logger,
        fetchFromPeer: unused,
        fetchFromAllPeers: unused,
      });
      await sleep(100);
      expect(view.routes()?.table.version).toEqual(1);
      await sleep(REREAD_MS);
      view.stop();
      expect(view.routes()?.table.version).toEqual(2);
    });
  }

  it('do not make a gateway take a text for the id of its fleet', async () => {
    const fleetIds: string[] = [];
    let reads = 0;
    const row = (value: string): Row => ({key: 'fleet/id', value, version: 1});
    const service: TableService = {
      get: async () => row(reads++ === 0 ? 'spoilt\n' : '1c5b42fe'),
      scan: async () => [],
      transact: async () => ({committed: true}),
    };
    const registry = startPeerRegistry({
      instance: 'one',
      address: {host: '127.0.0.1', port: 1},
      table: service,
      clock,
      logger,
      onFleetId: id => fleetIds.push(id),
      onGateways: () => undefined,
    });
    await sleep(REREAD_MS);
    registry.stop();
    expect(fleetIds).toEqual(['1c5b42fe']);
  });
});
