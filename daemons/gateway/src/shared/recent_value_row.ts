import {
  mergeRecentValues,
  type NamedValue,
  type RecentValues,
  type RecentValuesCodec,
  type ValueObservation,
} from '@sardinestile/continuation';
import type {Logger} from '@sardinestile/logger';
import type {StoreRestores, TableService} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** Writes that are tried if other gateways write meanwhile. */
const MAX_WRITE_TRIES = 4;

/** Shortest time between two tries after a failure, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;

/** Longest text of a row, in bytes; the store takes rows of 64 KB. */
const MAX_ROW_BYTES = 49_152;

/** Time until values that were too many for a row are written again, in milliseconds. */
const OVERFLOW_RETRY_MS = 20_000;

/** What the rows of a gateway share. */
export interface RecentValueContext {
  table: TableService;
  restores: StoreRestores;
  /** Whether this gateway writes for its group. */
  isWriter: () => boolean;
  /** Whether no gateway of this fleet ran before this process started. */
  isFirstStart: boolean;
  /** Unix time in milliseconds on which the gateways agree. */
  fleetTimeMs: () => number;
  clock: Clock;
  logger: Logger;
}

/** Options for `createRecentValueRow`. */
export interface RecentValueRowOptions {
  key: string;
  /** What the values are, for log lines. */
  content: string;
  codec: RecentValuesCodec;
  /** Returns all values that are seen now; undefined while that is not known. */
  seen: () => readonly NamedValue[] | undefined;
  onWritten: (written: RecentValues) => void;
}

/** A row of the store with recently seen values, which outlasts the loss of all gateways. */
export interface RecentValueRow {
  /** Writes the values that the store lacks; called at short intervals and when they may have changed. */
  update(): void;
  /** Reads the row; undefined if it is missing or invalid. Rejects if the store cannot be read. */
  read(): Promise<RecentValues | undefined>;
  /** Returns an observation of values, for what the row is compared with. */
  observe(seen: readonly NamedValue[]): ValueObservation;
}

/** Creates a row, and writes nothing until `update`. */
export function createRecentValueRow(
  {
    table,
    restores,
    isWriter,
    isFirstStart,
    fleetTimeMs,
    clock,
    logger,
  }: RecentValueContext,
  {key, content, codec, seen, onWritten}: RecentValueRowOptions,
): RecentValueRow {
  /** What was read or written last, in the generation of the store that it states. */
  let known: RecentValues | undefined;
  let retryAtMs = -Infinity;
  let isWriting = false;

  const reportFailure = (operation: string, error: unknown) =>
    logger.warn('store_failed', {operation, reason: (error as Error).message});
  const decode = (value: string): RecentValues | undefined => {
    try {
      return codec.decode(value);
    } catch (error) {
      reportFailure(`decode the row ${key}`, error);
      return undefined;
    }
  };
  const observe = (values: readonly NamedValue[]): ValueObservation => ({
    seen: values,
    generation: restores.generation,
    nowMs: fleetTimeMs(),
  });
  /** Returns what to write; if it does not fit into a row, that nothing is known of before. */
  const fitIntoRow = (recent: RecentValues): RecentValues => {
    if (Buffer.byteLength(codec.encode(recent)) <= MAX_ROW_BYTES) return recent;
    retryAtMs = clock.monotonicMs() + OVERFLOW_RETRY_MS;
    reportFailure(`record ${content}`, new Error('they are too many'));
    return {...recent, completeSinceMs: fleetTimeMs(), values: new Map()};
  };
  const write = async () => {
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
      const row = await table.get(key);
      const values = seen();
      if (!values) return;
      const stored = row && decode(row.value);
      const next = mergeRecentValues(stored, {
        ...observe(values),
        isFirstStart: isFirstStart && row === undefined,
        known,
      });
      if (!next) {
        known = stored;
        return;
      }
      const written = fitIntoRow(next);
      const value = codec.encode(written);
      const expectedVersion = row?.version ?? 0;
      const {committed} = await table.transact([{key, value, expectedVersion}]);
      if (!committed) continue;
      known = written;
      onWritten(written);
      return;
    }
  };
  return {
    update() {
      if (isWriting || !isWriter() || clock.monotonicMs() < retryAtMs) return;
      const values = seen();
      if (!values) return;
      const next = {...observe(values), isFirstStart: false, known};
      if (known && !mergeRecentValues(known, next)) return;
      isWriting = true;
      write()
        .catch(error => {
          retryAtMs = clock.monotonicMs() + RETRY_INTERVAL_MS;
          reportFailure(`record ${content}`, error);
        })
        .finally(() => (isWriting = false));
    },
    async read() {
      const row = await table.get(key);
      const stored = row && decode(row.value);
      // A row of before a restore shows what the copy has, not what this gateway knew.
      if (stored?.generation === restores.generation) known = stored;
      return stored;
    },
    observe,
  };
}
