import type {TableService} from '@sardinestile/ports';
import {keepLarger} from './keep_larger.js';
import type {SourceUsage} from './usage_batch_writer.js';
import {closedKey, sumsKey, windowIdAt} from './usage_keys.js';
import {
  addAllUsage,
  addUsage,
  decodeUsageSums,
  encodeUsageSums,
  type UsageSums,
} from './usage_sums.js';

/**
 * Age up to which stored sums are kept to be stored again; it exceeds the age
 * of the copies from which the store is restored.
 */
const RESTORE_LIMIT_MS = 30_000;

/** Options for createUsageAccumulator. */
export interface UsageAccumulatorOptions {
  /** Name of this source; unique for each start of a process. */
  source: string;
  table: TableService;
  wallMs: () => number;
  /** Length of a window; a minute by default. */
  windowMs?: number;
  /** Called when a peer could not store usage, which is stored directly then. */
  onPeerFailed?: (reason: string) => void;
}

/** Sums the usage of one process by window and stores the sums. */
export interface UsageAccumulator {
  /** Adds one request to the current window. */
  record(
    organisation: string,
    usage: {promptTokens: number; outputTokens: number},
  ): void;
  /**
   * Stores all sums that are not written yet; rejects if the store fails, and
   * keeps them for the next call. With `storeAtPeer` a peer stores them along
   * with its own; if that fails they are stored directly.
   */
  flush(storeAtPeer?: (usage: SourceUsage) => Promise<void>): Promise<void>;
  /** Marks all kept sums as not stored, after a restore of the store may have deleted them. */
  restored(): void;
  /** Returns the sums of the windows that still have to be written. */
  unwrittenSums(): Array<{windowId: string; sums: UsageSums}>;
  /** Returns the number of organisations in each window that is kept, for a state dump. */
  dump(): Array<{windowId: string; organisations: number}>;
}

interface Window {
  sums: UsageSums;
  /** Sums that were stored; a seal may contain them. */
  storedSums: UsageSums;
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
      window = {
        sums: new Map(),
        storedSums: new Map(),
        rowVersion: 0,
        isDirty: false,
      };
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
    const sums = structuredClone(window.sums);
    const value = encodeUsageSums(sums);
    const {rowVersion} = window;
    window.isDirty = false;
    window.rowVersion = undefined;
    const write = {key, value, expectedVersion: rowVersion};
    const check = {key: closedKey(windowId), expectedVersion: 0};
    try {
      const {committed, version} = await table.transact([write], [check]);
      if (committed) {
        window.rowVersion = version ?? rowVersion + 1;
        window.storedSums = sums;
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
  /**
   * Moves the usage that a closed window does not contain to the current window.
   * What was stored before may be in the window's seal even if the row is gone
   * since a restore of the store, and is not counted again.
   */
  const moveToCurrentWindow = async (windowId: string, window: Window) => {
    const row = await table.get(sumsKey(windowId, source));
    const rowSums = row ? decodeUsageSums(row.value) : new Map();
    const stored = keepLarger(rowSums, window.storedSums);
    windows.delete(windowId);
    const current = windowOf(windowIdAt(options.wallMs(), options.windowMs));
    addAllUsage(current.sums, subtractUsage(window.sums, stored));
    current.isDirty = true;
  };
  /** Returns whether the peer has stored all sums of a window. */
  const flushAtPeer = async (
    windowId: string,
    window: Window,
    storeAtPeer: (usage: SourceUsage) => Promise<void>,
  ) => {
    const sums = structuredClone(window.sums);
    window.isDirty = false;
    window.rowVersion = undefined;
    try {
      await storeAtPeer({source, windowId, sums});
      window.storedSums = sums;
      return true;
    } catch (error) {
      window.isDirty = true;
      options.onPeerFailed?.((error as Error).message);
      return false;
    }
  };
  const flushAll = async (
    storeAtPeer?: (usage: SourceUsage) => Promise<void>,
  ) => {
    const oldestKeptId = windowIdAt(
      options.wallMs() - RESTORE_LIMIT_MS,
      options.windowMs,
    );
    for (const [windowId, window] of [...windows]) {
      if (!window.isDirty) {
        if (windowId < oldestKeptId) windows.delete(windowId);
        continue;
      }
      const isStored =
        storeAtPeer && (await flushAtPeer(windowId, window, storeAtPeer));
      if (!isStored) await flushWindow(windowId, window);
    }
  };
  return {
    record(organisation, {promptTokens, outputTokens}) {
      const window = windowOf(windowIdAt(options.wallMs(), options.windowMs));
      const usage = {requests: 1, promptTokens, outputTokens};
      addUsage(window.sums, organisation, usage);
      window.isDirty = true;
    },
    flush(storeAtPeer) {
      // Concurrent flushes would both move the same usage out of a closed window.
      pendingFlush ??= flushAll(storeAtPeer).finally(
        () => (pendingFlush = undefined),
      );
      return pendingFlush;
    },
    restored() {
      for (const window of windows.values()) {
        window.isDirty = true;
        window.rowVersion = undefined;
      }
    },
    unwrittenSums: () =>
      [...windows]
        .filter(([, {isDirty}]) => isDirty)
        .map(([windowId, {sums}]) => ({windowId, sums})),
    dump: () =>
      [...windows].map(([windowId, window]) => ({
        windowId,
        organisations: window.sums.size,
      })),
  };
}

function subtractUsage(sums: UsageSums, stored: UsageSums): UsageSums {
  const remaining: UsageSums = new Map();
  for (const [organisation, usage] of sums) {
    const storedUsage = stored.get(organisation);
    remaining.set(organisation, {
      requests: usage.requests - (storedUsage?.requests ?? 0),
      promptTokens: usage.promptTokens - (storedUsage?.promptTokens ?? 0),
      outputTokens: usage.outputTokens - (storedUsage?.outputTokens ?? 0),
    });
  }
  return remaining;
}
