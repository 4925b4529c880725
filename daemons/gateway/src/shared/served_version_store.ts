import {setTimeout as sleep} from 'node:timers/promises';
import {
  createVersionHistory,
  decodeServedVersions,
  encodeServedVersions,
  mergeServedVersions,
  onlyServedVersion,
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
 * Shortest time between two reads for resumes, in milliseconds. Callers return together
 * after a loss, and those that come meanwhile share the next read.
 */
const READ_INTERVAL_MS = 200;

/** Interval at which the list of upstreams is observed, in milliseconds. */
const OBSERVATION_INTERVAL_MS = 1_000;

/** Options for `createServedVersionStore`. */
export interface ServedVersionStoreOptions {
  table: TableService;
  restores: StoreRestores;
  /** All upstreams in the list that this gateway follows. */
  listedUpstreams: () => readonly VersionedUpstream[];
  /** Upper bound of the age of that list, in milliseconds. */
  listAgeMs: () => number;
  /** Greatest age at which the list counts as up to date, in milliseconds. */
  maxListAgeMs: number;
  /** Reads all registered upstreams from the store; rejects if it cannot be read. */
  readRegistered: () => Promise<readonly VersionedUpstream[]>;
  /** Whether this gateway writes for its group. */
  isWriter: () => boolean;
  /** Whether no gateway of this fleet ran before this process started. */
  isFirstStart: boolean;
  /** Unix time in milliseconds on which the gateways agree. */
  fleetTimeMs: () => number;
  clock: Clock;
  logger: Logger;
}

/** Software versions that served, for streams that no gateway remembers. */
export interface ServedVersionStore {
  /**
   * Observes which versions serve, and writes those that the store lacks; called at short
   * intervals and when upstreams may have changed.
   */
  update(): void;
  /**
   * Returns the version that began all streams of a service which a caller may resume
   * now; undefined if there were several, it is not certain, or the store cannot be read.
   */
  onlyVersion(service: string): Promise<string | undefined>;
}

/** What the store has for resumes that arrived before it was read. */
interface StoreReading {
  /** The row of the versions; absent if it is missing or invalid. */
  served: ServedVersions | undefined;
  registered: readonly VersionedUpstream[];
  /** Monotonic time at which the read began, in milliseconds. */
  sentAtMs: number;
}

/** Creates the store of the versions, and writes nothing until `update`. */
export function createServedVersionStore(
  options: ServedVersionStoreOptions,
): ServedVersionStore {
  const {table, restores, clock, logger} = options;
  let history = createVersionHistory();
  let observedAtMs = -Infinity;
  /** What was read or written last, in the generation of the store that it states. */
  let known: ServedVersions | undefined;
  let retryAtMs = -Infinity;
  let isWriting = false;
  /** The read that has not begun yet. */
  let nextReading: Promise<StoreReading | undefined> | undefined;
  let readAtMs = -Infinity;

  const decode = (value: string): ServedVersions | undefined => {
    try {
      return decodeServedVersions(value);
    } catch (error) {
      reportFailure(`decode the row ${VERSIONS_KEY}`, error);
      return undefined;
    }
  };
  const reportFailure = (operation: string, error: unknown) =>
    logger.warn('store_failed', {operation, reason: (error as Error).message});
  const currentUpstreams = () =>
    options.listAgeMs() <= options.maxListAgeMs
      ? options.listedUpstreams()
      : undefined;
  const observe = (upstreams: readonly VersionedUpstream[]) => ({
    upstreams,
    generation: restores.generation,
    nowMs: options.fleetTimeMs(),
  });
  const observeList = () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - observedAtMs < OBSERVATION_INTERVAL_MS) return;
    observedAtMs = nowMs;
    history.observe(options.listedUpstreams(), nowMs - options.listAgeMs());
  };
  restores.subscribe(() => {
    // Upstreams that registered just before the restore may be missing in it.
    history = createVersionHistory();
  });
  const write = async () => {
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
      const row = await table.get(VERSIONS_KEY);
      const upstreams = currentUpstreams();
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
      const value = encodeServedVersions(next);
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
  const readRow = async () => {
    const row = await table.get(VERSIONS_KEY);
    const stored = row && decode(row.value);
    // A row of before a restore shows what the copy has, not what this gateway knew.
    if (stored?.generation === restores.generation) known = stored;
    return stored;
  };
  const read = async (): Promise<StoreReading> => {
    const sentAtMs = clock.monotonicMs();
    const [served, registered] = await Promise.all([
      readRow(),
      options.readRegistered(),
    ]);
    return {served, registered, sentAtMs};
  };
  /** Reads what the store has from now on; calls at about the same time share one read. */
  const readShared = () => {
    nextReading ??= (async () => {
      const sinceMs = clock.monotonicMs() - readAtMs;
      await sleep(Math.max(0, READ_INTERVAL_MS - sinceMs));
      nextReading = undefined;
      readAtMs = clock.monotonicMs();
      return read().catch(error => {
        reportFailure('read the software versions that served', error);
        return undefined;
      });
    })();
    return nextReading;
  };
  return {
    update() {
      observeList();
      const nowMs = clock.monotonicMs();
      const upstreams = currentUpstreams();
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
      const reading = await readShared();
      if (!reading) return undefined;
      const {served, registered, sentAtMs} = reading;
      const upstreams = [...registered, ...options.listedUpstreams()];
      history.observe(upstreams, sentAtMs);
      return (
        history.onlyVersion(service, sentAtMs) ??
        onlyServedVersion(served, service, observe(upstreams))
      );
    },
  };
}

function describe({services}: ServedVersions): string {
  return [...services]
    .map(
      ([service, versions]) => `${service}: ${[...versions.keys()].join(' ')}`,
    )
    .join('; ');
}
