import {randomUUID} from 'node:crypto';
import type {PeerAddress} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {Row, TableService} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {z} from 'zod';

/** Row that tells this fleet from others. */
const FLEET_KEY = 'fleet/id';

/** Characters of a fleet's id; it is part of every datagram. */
const FLEET_ID_LENGTH = 8;

/** First key of the gateways' rows, and the first key after them. */
const PREFIX = 'gateway/';
const PREFIX_END = 'gateway0';

/** Time between two looks for new gateways, in milliseconds. */
const REFRESH_MS = 10_000;

/** Time between two tries after a failure, in milliseconds. */
const RETRY_MS = 1_000;

/** Time between two renewals of an entry, in milliseconds. */
const RENEWAL_MS = 600_000;

/** Age from which an entry is removed, in milliseconds; its gateway missed several renewals. */
const LAPSE_MS = 3_600_000;

/** Gateways that are read at most. */
const MAX_GATEWAYS = 500;

const rowSchema = z.object({
  host: z.string(),
  port: z.number().int(),
  /** Unix millisecond of the last renewal. */
  renewedAtMs: z.number(),
});

/** A gateway that is registered. */
export interface RegisteredGateway {
  instance: string;
  address: PeerAddress;
}

/** What a registry needs. */
export interface PeerRegistryOptions {
  instance: string;
  address: PeerAddress;
  table: TableService;
  clock: Clock;
  logger: Logger;
  /** Told of the fleet's id once, before any gateways. */
  onFleet: (fleetId: string) => void;
  onGateways: (gateways: RegisteredGateway[]) => void;
}

/** This gateway's entry among the others'. */
export interface PeerRegistry {
  /** Removes the entry. */
  leave(): Promise<void>;
  stop(): void;
}

/** Registers this gateway and looks for the others from time to time. */
export function startPeerRegistry(options: PeerRegistryOptions): PeerRegistry {
  const {instance, address, table, logger, onGateways, clock} = options;
  const key = PREFIX + instance;
  let hasJoined = false;
  let renewedAtMs = -Infinity;
  let isLeaving = false;
  let timer: NodeJS.Timeout | undefined;

  const refresh = async () => {
    if (!hasJoined) {
      options.onFleet(await readFleetId(table));
      hasJoined = true;
    }
    const nowMs = clock.wallMs();
    if (Math.abs(nowMs - renewedAtMs) >= RENEWAL_MS) {
      const value = JSON.stringify({...address, renewedAtMs: nowMs});
      await table.transact([{key, value, expectedVersion: null}]);
      renewedAtMs = nowMs;
    }
    const rows = await table.scan(PREFIX, PREFIX_END, MAX_GATEWAYS);
    const gateways: RegisteredGateway[] = [];
    for (const row of rows) {
      const decoded = rowSchema.safeParse(JSON.parse(row.value));
      if (!decoded.success) {
        logger.warn('peer_link_failed', {reason: `bad row ${row.key}`});
        continue;
      }
      const {renewedAtMs: rowRenewedAtMs, ...peerAddress} = decoded.data;
      if (nowMs - rowRenewedAtMs >= LAPSE_MS) {
        await removeLapsed(row);
        continue;
      }
      const name = row.key.slice(PREFIX.length);
      gateways.push({instance: name, address: peerAddress});
    }
    // Whoever took this gateway for gone was wrong.
    if (!rows.some(row => row.key === key)) renewedAtMs = -Infinity;
    if (!isLeaving) onGateways(gateways);
  };
  const removeLapsed = async ({key: lapsedKey, version}: Row) => {
    const {committed} = await table.transact([
      {key: lapsedKey, value: null, expectedVersion: version},
    ]);
    if (committed) logger.info('peer_entry_removed', {entry: lapsedKey});
  };
  const run = () => {
    refresh().then(
      () => schedule(REFRESH_MS),
      (error: Error) => {
        logger.warn('store_failed', {
          operation: 'look for gateways',
          reason: error.message,
        });
        schedule(RETRY_MS);
      },
    );
  };
  const schedule = (delayMs: number) => {
    if (!isLeaving) {
      timer = setTimeout(run, delayMs * (0.8 + 0.4 * Math.random()));
    }
  };
  const stop = () => {
    isLeaving = true;
    clearTimeout(timer);
  };
  run();
  return {
    stop,
    async leave() {
      stop();
      try {
        await table.transact([{key, value: null, expectedVersion: null}]);
      } catch (error) {
        logger.warn('store_failed', {
          operation: 'remove the entry of this gateway',
          reason: (error as Error).message,
        });
      }
    },
  };
}

/** The fleet's id; the first gateway that asks makes it. */
async function readFleetId(table: TableService): Promise<string> {
  const known = await table.get(FLEET_KEY);
  if (known) return known.value;
  const value = randomUUID().slice(0, FLEET_ID_LENGTH);
  const write = {key: FLEET_KEY, value, expectedVersion: 0};
  const {committed} = await table.transact([write]);
  return committed ? value : readFleetId(table);
}
