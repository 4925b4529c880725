import {randomUUID} from 'node:crypto';
import type {PeerAddress} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {Row, TableService} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {z} from 'zod';

/** Row with the id of this fleet, which keeps its messages apart from those of other fleets. */
const FLEET_KEY = 'fleet/id';

/** Length of a fleet id in characters; short, as each datagram contains it. */
const FLEET_ID_LENGTH = 8;

/** Ids that earlier builds have written are of this form, too. */
const FLEET_ID_PATTERN = /^[0-9a-f]{8}$/;

/** Prefix of the keys of the gateways' rows, and the first key after that range. */
const GATEWAY_KEY_PREFIX = 'gateway/';
const GATEWAY_KEY_END = 'gateway0';

/** Shortest interval at which the gateways' rows are read, in milliseconds. */
const MIN_REFRESH_INTERVAL_MS = 10_000;

/**
 * Time from the start to the second read, in milliseconds: gateways that start
 * together do not see each other's rows in the first one.
 */
const SECOND_REFRESH_DELAY_MS = 1_500;

/**
 * Gateways from which the interval grows with their number, so that the reads of
 * the whole fleet do not. Heartbeats tell of new gateways in between.
 */
const GATEWAYS_AT_MIN_INTERVAL = 16;

/** Delay before the retry of a failed refresh, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** Interval at which a gateway renews its entry, in milliseconds. */
const RENEWAL_INTERVAL_MS = 600_000;

/**
 * Age at which an entry is removed, in milliseconds; its gateway has missed
 * several renewals by then.
 */
const ENTRY_LIFETIME_MS = 3_600_000;

/** Most gateways that are read at once. */
const MAX_GATEWAYS = 500;

const rowSchema = z.object({
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
  /** Time of the last renewal in Unix milliseconds. */
  renewedAtMs: z.number(),
});

/** Instance name and peer address of a registered gateway. */
export interface RegisteredGateway {
  instance: string;
  address: PeerAddress;
}

/** Options for `startPeerRegistry`. */
export interface PeerRegistryOptions {
  instance: string;
  address: PeerAddress;
  table: TableService;
  clock: Clock;
  logger: Logger;
  /** Called with the fleet id before `onGateways`, and again if a restore changed it. */
  onFleetId: (fleetId: string) => void;
  /** Called after each refresh with all gateways, this one included. */
  onGateways: (gateways: RegisteredGateway[]) => void;
}

/** Registration of this gateway. */
export interface PeerRegistry {
  /** Writes again what a restore of the store may have deleted. */
  recordRestore(): void;
  /** Removes this gateway's entry and stops. */
  deregister(): Promise<void>;
  stop(): void;
}

/** Registers this gateway and reads the list of gateways at regular intervals. */
export function startPeerRegistry(options: PeerRegistryOptions): PeerRegistry {
  const {instance, address, table, logger, onGateways, clock} = options;
  const key = GATEWAY_KEY_PREFIX + instance;
  let fleetId: string | undefined;
  let isFleetIdStored = false;
  let renewedAtMs = -Infinity;
  let refreshIntervalMs = MIN_REFRESH_INTERVAL_MS;
  let isFirstRefresh = true;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const refresh = async () => {
    if (!isFleetIdStored) {
      const storedId = await readFleetId(table, fleetId);
      if (storedId !== fleetId) options.onFleetId(storedId);
      fleetId = storedId;
      isFleetIdStored = true;
    }
    const nowMs = clock.wallMs();
    if (Math.abs(nowMs - renewedAtMs) >= RENEWAL_INTERVAL_MS) {
      const value = JSON.stringify({...address, renewedAtMs: nowMs});
      await table.transact([{key, value, expectedVersion: null}]);
      renewedAtMs = nowMs;
    }
    const rows = await table.scan(
      GATEWAY_KEY_PREFIX,
      GATEWAY_KEY_END,
      MAX_GATEWAYS,
    );
    const gateways: RegisteredGateway[] = [];
    for (const row of rows) {
      const decoded = rowSchema.safeParse(parseJson(row.value));
      if (!decoded.success) {
        logger.warn('peer_link_failed', {
          reason: `row ${row.key} does not match the schema`,
        });
        continue;
      }
      const {renewedAtMs: rowRenewedAtMs, ...peerAddress} = decoded.data;
      if (nowMs - rowRenewedAtMs >= ENTRY_LIFETIME_MS) {
        await removeExpiredEntry(row);
        continue;
      }
      const name = row.key.slice(GATEWAY_KEY_PREFIX.length);
      gateways.push({instance: name, address: peerAddress});
    }
    refreshIntervalMs =
      MIN_REFRESH_INTERVAL_MS *
      Math.max(1, gateways.length / GATEWAYS_AT_MIN_INTERVAL);
    // Another gateway removed this entry by mistake; the next refresh adds it.
    if (!rows.some(row => row.key === key)) renewedAtMs = -Infinity;
    if (!isStopped) onGateways(gateways);
  };
  const removeExpiredEntry = async ({key: expiredKey, version}: Row) => {
    const {committed} = await table.transact([
      {key: expiredKey, value: null, expectedVersion: version},
    ]);
    if (committed) logger.info('peer_entry_removed', {entry: expiredKey});
  };
  const run = () => {
    refresh().then(
      () => {
        schedule(isFirstRefresh ? SECOND_REFRESH_DELAY_MS : refreshIntervalMs);
        isFirstRefresh = false;
      },
      (error: Error) => {
        logger.warn('store_failed', {
          operation: 'look for gateways',
          reason: error.message,
        });
        schedule(RETRY_DELAY_MS);
      },
    );
  };
  const schedule = (delayMs: number) => {
    if (!isStopped) {
      timer = setTimeout(run, delayMs * (0.8 + 0.4 * Math.random()));
    }
  };
  const stop = () => {
    isStopped = true;
    clearTimeout(timer);
  };
  run();
  return {
    stop,
    recordRestore() {
      isFleetIdStored = false;
      renewedAtMs = -Infinity;
      if (isStopped) return;
      clearTimeout(timer);
      schedule(RETRY_DELAY_MS);
    },
    async deregister() {
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

/**
 * Reads the fleet id; the first gateway of a fleet creates it. `knownId` is
 * written again if a restore of the store has deleted it.
 */
async function readFleetId(
  table: TableService,
  knownId: string | undefined,
): Promise<string> {
  const stored = await table.get(FLEET_KEY);
  if (stored && FLEET_ID_PATTERN.test(stored.value)) return stored.value;
  // Another id than that of the others would cut this gateway off from them.
  if (stored) throw new Error(`row ${FLEET_KEY} holds no id`);
  const value = knownId ?? randomUUID().slice(0, FLEET_ID_LENGTH);
  const write = {key: FLEET_KEY, value, expectedVersion: 0};
  const {committed} = await table.transact([write]);
  return committed ? value : readFleetId(table, knownId);
}

/** Returns a JSON value, or undefined if the text is none. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The caller logs a row that has no valid value.
    return undefined;
  }
}
