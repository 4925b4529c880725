import type {TableService} from '@sardinestile/ports';
import {closedKey, sumsKey, windowIdAt} from './usage_keys.js';
import {addAllUsage, addUsage, type UsageSums} from './usage_sums.js';

/** Options for createUsageAccumulator. */
export interface UsageAccumulatorOptions {
  /** Name of this source; unique for each start of a process. */
  source: string;
  table: TableService;
  wallMs: () => number;
  /** Length of a window; a minute by default. */
  windowMs?: number;
}

/** Sums the usage of one process by window and stores the sums. */
export interface UsageAccumulator {
  /** Adds one request to the current window. */
  record(
    organisation: string,
    usage: {promptTokens: number; outputTokens: number},
  ): void;
  /** Stores all sums that are not written yet; rejects if the store fails, and keeps them for the next call. */
  flush(): Promise<void>;
  /** Returns the sums of the windows that still have to be written. */
  unwrittenSums(): Array<{windowId: string; sums: UsageSums}>;
  /** Returns the number of organisations in each window that is kept, for a state dump. */
  dump(): Array<{windowId: string; organisations: number}>;
}

interface Window {
  sums: UsageSums;
  /** Version of the source's row; undefined if the outcome of the last write is unknown. */
  rowVersion: number | undefined;
  isDirty: boolean;
}

/** Creates an accumulator without usage. */
export function createUsageAccumulator(
  options: UsageAccumulatorOptions,
): UsageAccumulator {
  const {table, source} = options;
  const windows = new Map<string, Window>();
  let pendingFlush: Promise<void> | undefined;

  const windowOf = (windowId: string) => {
    let window = windows.get(windowId);
    if (!window) {
      window = {sums: {}, rowVersion: 0, isDirty: false};
      windows.set(windowId, window);
    }
    return window;
  };
  /**
   * Overwrites the source's row with all sums of a window, so that a retry after
   * a lost response counts nothing twice.
   */
  const flushWindow = async (windowId: string, window: Window) => {
    const key = sumsKey(windowId, source);
    window.rowVersion ??= (await table.get(key))?.version ?? 0;
    const value = JSON.stringify(window.sums);
    const {rowVersion} = window;
    window.isDirty = false;
    window.rowVersion = undefined;
    const write = {key, value, expectedVersion: rowVersion};
    const check = {key: closedKey(windowId), expectedVersion: 0};
    try {
      const {committed, version} = await table.transact([write], [check]);
      if (committed) {
        window.rowVersion = version ?? rowVersion + 1;
        return;
      }
    } catch (error) {
      window.isDirty = true;
      throw error;
    }
    window.isDirty = true;
    const isClosed = (await table.get(check.key)) !== undefined;
    if (isClosed) await moveToCurrentWindow(windowId, window);
  };
  /** Moves the usage that a closed window does not contain to the current window. */
  const moveToCurrentWindow = async (windowId: string, window: Window) => {
    const row = await table.get(sumsKey(windowId, source));
    const stored = row ? (JSON.parse(row.value) as UsageSums) : {};
    windows.delete(windowId);
    const current = windowOf(windowIdAt(options.wallMs(), options.windowMs));
    addAllUsage(current.sums, subtractUsage(window.sums, stored));
    current.isDirty = true;
  };
  const flushAll = async () => {
    const currentId = windowIdAt(options.wallMs(), options.windowMs);
    for (const [windowId, window] of [...windows]) {
      if (window.isDirty) await flushWindow(windowId, window);
      else if (windowId !== currentId) windows.delete(windowId);
    }
  };
  return {
    record(organisation, {promptTokens, outputTokens}) {
      const window = windowOf(windowIdAt(options.wallMs(), options.windowMs));
      const usage = {requests: 1, promptTokens, outputTokens};
      addUsage(window.sums, organisation, usage);
      window.isDirty = true;
    },
    flush() {
      // Concurrent flushes would both move the same usage out of a closed window.
      pendingFlush ??= flushAll().finally(() => (pendingFlush = undefined));
      return pendingFlush;
    },
    unwrittenSums: () =>
      [...windows]
        .filter(([, {isDirty}]) => isDirty)
        .map(([windowId, {sums}]) => ({windowId, sums})),
    dump: () =>
      [...windows].map(([windowId, window]) => ({
        windowId,
        organisations: Object.keys(window.sums).length,
      })),
  };
}

function subtractUsage(sums: UsageSums, stored: UsageSums): UsageSums {
  const remaining: UsageSums = {};
  for (const [organisation, usage] of Object.entries(sums)) {
    const storedUsage = stored[organisation];
    remaining[organisation] = {
      requests: usage.requests - (storedUsage?.requests ?? 0),
      promptTokens: usage.promptTokens - (storedUsage?.promptTokens ?? 0),
      outputTokens: usage.outputTokens - (storedUsage?.outputTokens ?? 0),
    };
  }
  return remaining;
}
