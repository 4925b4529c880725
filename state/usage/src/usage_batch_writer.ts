import type {TableService} from '@sardinestile/ports';
import {keepLarger} from './keep_larger.js';
import {closedKey, prefixEnd, sumsKey, sumsPrefix} from './usage_keys.js';
import {
  decodeUsageSums,
  encodeUsageSums,
  type UsageSums,
} from './usage_sums.js';

/** Most rows that one transaction writes; the platform allows a hundred entries. */
const MAX_BATCH_ROWS = 45;

/** Attempts to write a batch whose rows other processes write, too. */
const MAX_ATTEMPTS = 3;

/** Largest number of rows that are read to settle a conflict. */
const SCAN_LIMIT_ROWS = 1_000;

/** Usage of one source in one window. */
export interface SourceUsage {
  source: string;
  windowId: string;
  sums: UsageSums;
}

/** Options for createUsageBatchWriter. */
export interface UsageBatchWriterOptions {
  table: TableService;
  /** Time for which usage of other sources is collected before it is written, in milliseconds. */
  collectMs: number;
}

/** Stores the usage of several sources in common transactions. */
export interface UsageBatchWriter {
  /**
   * Resolves when the usage is stored; rejects if the store failed or the window
   * is closed, in which case nothing more of it is stored later.
   */
  store(usage: SourceUsage): Promise<void>;
  /** Forgets the versions of the rows, after the store was restored. */
  restored(): void;
}

interface PendingUsage {
  sums: UsageSums;
  resolve: () => void;
  reject: (error: Error) => void;
}

/** Row of a source as this process last wrote or read it. */
interface KnownRow {
  version: number;
  sums: UsageSums;
}

/**
 * Creates a writer. The counts of a source in a window only rise, so the larger
 * ones are kept in whichever order processes write.
 */
export function createUsageBatchWriter({
  table,
  collectMs,
}: UsageBatchWriterOptions): UsageBatchWriter {
  /** Usage that waits for the next transaction, by window and key of the row. */
  let pending = new Map<string, Map<string, PendingUsage[]>>();
  /** Rows of the newest windows, by window and key. */
  const knownRows = new Map<string, Map<string, KnownRow>>();
  let timer: NodeJS.Timeout | undefined;

  const knownRowsOf = (windowId: string) => {
    let rows = knownRows.get(windowId);
    if (!rows) {
      knownRows.set(windowId, (rows = new Map()));
      // Sources write to the current window and to the one before.
      for (const oldest of [...knownRows.keys()].sort().slice(0, -2)) {
        knownRows.delete(oldest);
      }
    }
    return rows;
  };
  const rereadRows = async (windowId: string, rows: Map<string, KnownRow>) => {
    const prefix = sumsPrefix(windowId);
    const stored = await table.scan(prefix, prefixEnd(prefix), SCAN_LIMIT_ROWS);
    rows.clear();
    for (const {key, value, version} of stored) {
      const sums = decodeUsageSums(value);
      rows.set(key, {version, sums});
    }
  };
  const writeRows = async (
    windowId: string,
    batch: ReadonlyMap<string, UsageSums>,
  ): Promise<void> => {
    const rows = knownRowsOf(windowId);
    const check = {key: closedKey(windowId), expectedVersion: 0};
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const merged = [...batch].map(([key, sums]) => {
        const known = rows.get(key);
        return {
          key,
          sums: known ? keepLarger(known.sums, sums) : sums,
          expectedVersion: known?.version ?? 0,
        };
      });
      const {committed, version} = await table.transact(
        merged.map(({key, sums, expectedVersion}) => ({
          key,
          value: encodeUsageSums(sums),
          expectedVersion,
        })),
        [check],
      );
      if (committed) {
        for (const {key, sums, expectedVersion} of merged) {
          rows.set(key, {version: version ?? expectedVersion + 1, sums});
        }
        return;
      }
      if (await table.get(check.key)) break;
      await rereadRows(windowId, rows);
    }
    throw new Error(`usage window ${windowId} is closed or contended`);
  };
  const writeBatch = async (
    windowId: string,
    entries: ReadonlyArray<[string, PendingUsage[]]>,
  ) => {
    const batch = new Map(
      entries.map(([key, usages]) => [
        key,
        usages.map(({sums}) => sums).reduce(keepLarger),
      ]),
    );
    const waiting = entries.flatMap(([, usages]) => usages);
    try {
      await writeRows(windowId, batch);
      waiting.forEach(({resolve}) => resolve());
    } catch (error) {
      // The outcome may be unknown; the rows are read before the next write.
      knownRows.delete(windowId);
      waiting.forEach(({reject}) => reject(error as Error));
    }
  };
  const writePending = () => {
    timer = undefined;
    const windows = pending;
    pending = new Map();
    for (const [windowId, byKey] of windows) {
      const entries = [...byKey];
      for (let i = 0; i < entries.length; i += MAX_BATCH_ROWS) {
        void writeBatch(windowId, entries.slice(i, i + MAX_BATCH_ROWS));
      }
    }
  };
  return {
    store({source, windowId, sums}) {
      return new Promise((resolve, reject) => {
        let byKey = pending.get(windowId);
        if (!byKey) pending.set(windowId, (byKey = new Map()));
        const key = sumsKey(windowId, source);
        const usages = byKey.get(key) ?? [];
        byKey.set(key, [...usages, {sums, resolve, reject}]);
        timer ??= setTimeout(writePending, collectMs);
      });
    },
    restored: () => knownRows.clear(),
  };
}
