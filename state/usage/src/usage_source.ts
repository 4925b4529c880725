import type {TableService} from '@sardinestile/ports';
import {closedKey, sumsKey, windowIdAt} from './usage_keys.js';
import {addAllUsage, addUsage, type UsageSums} from './usage_sums.js';

/** What a source of usage needs. */
export interface UsageSourceOptions {
  /** Unique for each start of a process. */
  source: string;
  table: TableService;
  wallMs: () => number;
  /** Length of a window; a minute by default. */
  windowMs?: number;
}

/** Sums the usage of one process and writes it in batches. */
export interface UsageSource {
  record(
    organisation: string,
    usage: {promptTokens: number; outputTokens: number},
  ): void;
  /** Writes what is not stored yet; what cannot be written stays for later. */
  flush(): Promise<void>;
  /** Sums that the store is not known to hold yet, by window. */
  unsaved(): Array<{windowId: string; sums: UsageSums}>;
  /** Organisations whose usage is not stored yet, by window. */
  dump(): Array<{windowId: string; organisations: number}>;
}

interface Window {
  sums: UsageSums;
  /** Version of the source's row; undefined while it is not known. */
  rowVersion: number | undefined;
  isDirty: boolean;
}

/** Makes a source without usage. */
export function createUsageSource(options: UsageSourceOptions): UsageSource {
  const {table, source} = options;
  const windows = new Map<string, Window>();
  let running: Promise<void> | undefined;

  const windowOf = (windowId: string) => {
    let window = windows.get(windowId);
    if (!window) {
      window = {sums: {}, rowVersion: 0, isDirty: false};
      windows.set(windowId, window);
    }
    return window;
  };
  /**
   * Writes the whole sums of a window over the source's row. A repetition after
   * a lost answer stores the same sums.
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
    if (isClosed) await carryOver(windowId, window);
  };
  /** Moves what a closed window does not hold to the window of now. */
  const carryOver = async (windowId: string, window: Window) => {
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
      // Two flushes at once would both carry over what a closed window lacks.
      running ??= flushAll().finally(() => (running = undefined));
      return running;
    },
    unsaved: () =>
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
  const left: UsageSums = {};
  for (const [organisation, usage] of Object.entries(sums)) {
    const known = stored[organisation];
    left[organisation] = {
      requests: usage.requests - (known?.requests ?? 0),
      promptTokens: usage.promptTokens - (known?.promptTokens ?? 0),
      outputTokens: usage.outputTokens - (known?.outputTokens ?? 0),
    };
  }
  return left;
}
