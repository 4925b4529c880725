import {
  mergeServedVersions,
  onlyServedVersion,
  servedVersionsSchema,
  type ServedVersions,
  type VersionedUpstream,
} from '@sardinestile/continuation';
import type {Logger} from '@sardinestile/logger';
import type {StoreRestores, TableService} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** Row with the software versions that served, which outlasts the loss of all gateways. */
const VERSIONS_KEY = 'streams/versions';

/** Writes that are tried if other gateways write meanwhile. */
const MAX_WRITE_TRIES = 4;

/** Shortest time between two tries after a failure, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;

/**
 * Time for which a row that was read answers further resumes, in milliseconds. Callers
 * return together after a loss, and a version that begins to serve meanwhile is in the
 * gateway's own list of upstreams.
 */
const READ_LIFETIME_MS = 500;

/** Options for `createServedVersionStore`. */
export interface ServedVersionStoreOptions {
  table: TableService;
  restores: StoreRestores;
  /** All registered upstreams; undefined while the list may be out of date. */
  currentUpstreams: () => readonly VersionedUpstream[] | undefined;
  /** Whether this gateway writes for its group. */
  isWriter: () => boolean;
  /** Whether no gateway of this fleet ran before this process started. */
  isFirstStart: boolean;
  /** Unix time in milliseconds on which the gateways agree. */
  fleetTimeMs: () => number;
  clock: Clock;
  logger: Logger;
}

/** Software versions in the store, for streams of before the loss of all gateways. */
export interface ServedVersionStore {
  /** Writes versions that the store lacks; called when upstreams may have changed. */
  update(): void;
  /**
   * Returns the only version that a service has served with lately; undefined if there
   * were several, it is not certain, or the store cannot be read.
   */
  onlyVersion(service: string): Promise<string | undefined>;
}

/** Creates the store of the versions, and writes nothing until `update`. */
export function createServedVersionStore(
  options: ServedVersionStoreOptions,
): ServedVersionStore {
  const {table, restores, clock, logger} = options;
  /** What was read or written last, in the generation of the store that it states. */
  let known: ServedVersions | undefined;
  let retryAtMs = -Infinity;
  let isWriting = false;
  let reading: Promise<ServedVersions | undefined> | undefined;
  let readAtMs = -Infinity;

  const decode = (value: string): ServedVersions | undefined => {
    try {
      return servedVersionsSchema.parse(JSON.parse(value));
    } catch (error) {
      reportFailure(`decode the row ${VERSIONS_KEY}`, error);
      return undefined;
    }
  };
  const reportFailure = (operation: string, error: unknown) =>
    logger.warn('store_failed', {operation, reason: (error as Error).message});
  const observe = (upstreams: readonly VersionedUpstream[]) => ({
    upstreams,
    generation: restores.generation,
    nowMs: options.fleetTimeMs(),
  });
  const write = async () => {
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
      const row = await table.get(VERSIONS_KEY);
      const upstreams = options.currentUpstreams();
      if (!upstreams) return;
      const stored = row && decode(row.value);
      const next = mergeServedVersions(stored, {
        ...observe(upstreams),
        isFirstStart: options.isFirstStart && row === undefined,
        known,
      });
      if (!next) {
        known = stored;
        return;
      }
      const value = JSON.stringify(next);
      const expectedVersion = row?.version ?? 0;
      const {committed} = await table.transact([
        {key: VERSIONS_KEY, value, expectedVersion},
      ]);
      if (!committed) continue;
      known = next;
      logger.info('stream_versions_recorded', {versions: describe(next)});
      return;
    }
  };
  const read = async () => {
    const row = await table.get(VERSIONS_KEY);
    const stored = row && decode(row.value);
    // A row of before a restore shows what the copy has, not what this gateway knew.
    if (stored?.generation === restores.generation) known = stored;
    return stored;
  };
  /** Reads the row; calls at about the same time share one read. */
  const readShared = () => {
    const nowMs = clock.monotonicMs();
    if (reading && nowMs - readAtMs < READ_LIFETIME_MS) return reading;
    readAtMs = nowMs;
    reading = read().catch(error => {
      reading = undefined;
      reportFailure('read the software versions that served', error);
      return undefined;
    });
    return reading;
  };
  return {
    update() {
      const nowMs = clock.monotonicMs();
      const upstreams = options.currentUpstreams();
      if (isWriting || !upstreams || !options.isWriter()) return;
      if (nowMs < retryAtMs) return;
      const isFirstStart = false;
      const observation = {...observe(upstreams), isFirstStart, known};
      if (known && !mergeServedVersions(known, observation)) return;
      isWriting = true;
      write()
        .catch(error => {
          retryAtMs = clock.monotonicMs() + RETRY_INTERVAL_MS;
          reportFailure('record the software versions that serve', error);
        })
        .finally(() => (isWriting = false));
    },
    async onlyVersion(service) {
      const stored = await readShared();
      const upstreams = options.currentUpstreams();
      if (!upstreams) return undefined;
      return onlyServedVersion(stored, service, observe(upstreams));
    },
  };
}

function describe({services}: ServedVersions): string {
  return Object.entries(services)
    .map(
      ([service, versions]) => `${service}: ${Object.keys(versions).join(' ')}`,
    )
    .join('; ');
}
