import {describe, it} from 'node:test';
import {createUpstreamFleet} from '@sardinestile/fleet';
import type {LivePeer} from '@sardinestile/ledger';
import {createLogger} from '@sardinestile/logger';
import {confirmedConfigSchema, type ConfirmedConfig} from '@sardinestile/peer';
import type {FeedPage, RecordFeed} from '@sardinestile/ports';
import type {OperatorRecord} from '@sardinestile/route_table';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {createConfigView} from '../src/shared/config_view.js';
import {createSharedConfig} from '../src/shared/shared_config.js';
import {createZoneView} from '../src/shared/zone_view.js';

const clock = createSystemClock();
const logger = createLogger({level: 'error', write: () => undefined});

const PAGE: FeedPage<OperatorRecord> = {
  entries: [
    {
      key: 'zones',
      value: {
        kind: 'zoneList',
        list: {storeVersion: 7, states: [], unreadableZones: []},
      },
      findings: [],
    },
  ],
  version: 7,
};

/** Peers of which the instance `follower` follows one. */
const PEERS = Array.from({length: 20}, (_, i) => ({
  instance: `peer-${i}`,
  address: {host: '127.0.0.1', port: i},
  isStopping: false,
})) as unknown as LivePeer[];

/** Reads from a peer that answers with a message; returns whether the store was read. */
async function readWith(confirmed: ConfirmedConfig) {
  let isStoreRead = false;
  const store: RecordFeed<OperatorRecord> = {
    async readAll() {
      isStoreRead = true;
      return PAGE;
    },
    waitForChanges: () => new Promise(() => undefined),
  };
  const feed = createSharedConfig({
    instance: 'follower',
    store,
    peers: () => PEERS,
    knownVersion: () => 0,
    fetchFromPeer: async () => confirmed,
    maxAgeMs: 1_000,
    waitMs: 100,
    clock,
    logger,
  });
  await feed.readAll();
  return isStoreRead;
}

describe('zones that a peer reports', () => {
  const message = {version: 1, ageMs: 10, storeVersion: 7};

  it('are optional, since gateways of earlier builds know none', () => {
    expect(confirmedConfigSchema.parse(message).zones).toEqual(undefined);
  });

  it('make the store be read if they are absent, as the peer would hide them', async () => {
    const zones = {storeVersion: 7, states: [], unreadableZones: []};
    expect(await readWith({...message, zones})).toEqual(false);
    expect(await readWith(message)).toEqual(true);
  });

  it('end the wait of a peer when the state of a zone changes', async () => {
    const fleet = createUpstreamFleet({
      traitsOf: () => undefined,
      shortestTargetGapMs: () => Infinity,
    });
    const zones = createZoneView({
      fleet,
      rewriteTimeMs: 2_500,
      onChanged: () => view.wakePeers(),
      clock,
      logger,
    });
    const unused = () => Promise.reject(new Error('not used'));
    const view = createConfigView({
      feed: {
        readAll: async () => PAGE,
        waitForChanges: () => new Promise(() => undefined),
      },
      zones,
      waitMs: 1_000,
      minIntervalMs: () => 0,
      clock,
      logger,
      fetchFromPeer: unused,
      fetchFromAllPeers: unused,
    });
    const startMs = performance.now();
    const confirmed = view.getConfirmedConfig(0, 10_000);
    await new Promise(resolve => setTimeout(resolve, 20));
    const state = {
      availabilityZone: 'a',
      isOutOfService: true,
      storeVersion: 9,
    };
    zones.apply({kind: 'zone', state}, 'store');
    expect((await confirmed)?.zones?.states).toEqual([state]);
    expect(performance.now() - startMs < 5_000).toEqual(true);
    view.stop();
  });
});
