import type {TableService, UsageReceiver} from '@sardinestile/ports';
import {generationOfToken} from '@sardinestile/types';
import {z} from 'zod';
import {
  CLOSED_PREFIX,
  closedKey,
  prefixEnd,
  REPORTER_KEY,
  SEAL_PREFIX,
  sealKey,
  SUMS_PREFIX,
  sumsPrefix,
  WINDOW_MS,
  windowEndMs,
  windowIdAt,
} from './usage_keys.js';
import {
  addAllUsage,
  decodeUsageSums,
  encodeUsageSums,
  type UsageSums,
} from './usage_sums.js';

/** Default time from the end of a window until it is closed. */
const CLOSE_DELAY_MS = 15_000;

/** Time for which rows of reported windows are kept; sources stop writing to them long before. */
const RETENTION_MS = 3_600_000;

/** Interval between two removals of old rows. */
const REMOVAL_INTERVAL_MS = 60_000;

/** Rows removed per transaction; the platform allows a hundred entries. */
const REMOVAL_BATCH_ROWS = 90;

/** Largest number of rows per scan. */
const SCAN_LIMIT_ROWS = 1_000;

/** Windows whose sums a reporter keeps to seal them again after a restore of the store. */
const MAX_OWN_SEALS = 32;

/** Largest difference between the times of two reporters, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;

const reporterRowSchema = z.object({
  fencingToken: z.number().int(),
  /** Id of the last window that was reported; empty for none. */
  reportedUntil: z.string(),
  /**
   * Id of the last window whose seal a restore of the store may have deleted.
   * It may have been reported, so that it is not sealed with other figures.
   */
  skipUnsealedUntil: z.string().default(''),
});
type ReporterRow = z.infer<typeof reporterRowSchema>;

/** Options for createUsageReporter. */
export interface UsageReporterOptions {
  table: TableService;
  receiver: UsageReceiver;
  wallMs: () => number;
  /** Length of a window; a minute by default. */
  windowMs?: number;
  /** Time from the end of a window until it is closed; 15 seconds by default. */
  closeDelayMs?: number;
  /** Returns the fencing token if this process holds the reporter lease now. */
  fencingToken: () => number | undefined;
  /** Called after a window was reported, with its number of organisations. */
  onReported: (windowId: string, organisations: number) => void;
  /** Called for a window that is not reported, as a restore may have deleted its seal. */
  onSkipped?: (windowId: string) => void;
}

/** Closes, seals and reports usage windows while this process holds the reporter lease. */
export interface UsageReporter {
  /** Reports all windows that are due, and removes old rows; rejects if the platform fails. */
  run(): Promise<void>;
}

/** Creates a reporter. */
export function createUsageReporter(
  options: UsageReporterOptions,
): UsageReporter {
  const {table, receiver, windowMs} = options;
  const lengthMs = windowMs ?? WINDOW_MS;
  const closeDelayMs = options.closeDelayMs ?? CLOSE_DELAY_MS;

  /** Earliest time at which the next window can be due, as far as is known. */
  let nextDueMs = -Infinity;
  /** Fencing token of the term in which the reporter's row was last read. */
  let lastToken: number | undefined;
  /** Sums of the windows that this process sealed last, by window. */
  const ownSeals = new Map<string, UsageSums>();
  let nextRemovalMs = options.wallMs() + REMOVAL_INTERVAL_MS;

  /**
   * Reads the reporter's row and puts this process's fencing token into the
   * state; undefined if this process does not hold the lease or a newer holder
   * has written the row.
   */
  const readReporterRow = async () => {
    const fencingToken = options.fencingToken();
    if (fencingToken === undefined) return undefined;
    lastToken = fencingToken;
    const row = await table.get(REPORTER_KEY);
    const current = row
      ? reporterRowSchema.parse(JSON.parse(row.value))
      : {fencingToken: 0, reportedUntil: '', skipUnsealedUntil: ''};
    if (current.fencingToken > fencingToken) return undefined;
    const wasRestored =
      generationOfToken(current.fencingToken) < generationOfToken(fencingToken);
    const skipUnsealedUntil = wasRestored
      ? lastDueWindow()
      : current.skipUnsealedUntil;
    const state = {...current, fencingToken, skipUnsealedUntil};
    return {state, version: row?.version ?? 0, wasRestored};
  };
  /** Returns the id of the last window that another reporter may have sealed by now. */
  const lastDueWindow = () =>
    windowIdAt(
      options.wallMs() + MAX_CLOCK_DIFFERENCE_MS - closeDelayMs - lengthMs,
      windowMs,
    );
  /** Writes the reporter's row along with other rows; undefined if another process wrote first. */
  const writeReporterRow = async (
    state: ReporterRow,
    version: number,
    extra: Array<{key: string; value: string; expectedVersion: number}> = [],
  ) => {
    const write = {
      key: REPORTER_KEY,
      value: JSON.stringify(state),
      expectedVersion: version,
    };
    const outcome = await table.transact([write, ...extra]);
    return outcome.committed
      ? {version: outcome.version ?? version + 1}
      : undefined;
  };
  const closeWindow = async (windowId: string) => {
    const key = closedKey(windowId);
    const write = {key, value: '1', expectedVersion: 0};
    const {committed} = await table.transact([write]);
    return committed || (await table.get(key)) !== undefined;
  };
  /** Adds up the sums of all sources for a closed window, which no longer change. */
  const sumWindow = async (windowId: string): Promise<UsageSums> => {
    const prefix = sumsPrefix(windowId);
    const sums: UsageSums = new Map();
    let fromKey = prefix;
    for (;;) {
      const rows = await table.scan(
        fromKey,
        prefixEnd(prefix),
        SCAN_LIMIT_ROWS,
      );
      rows.forEach(row => addAllUsage(sums, decodeUsageSums(row.value)));
      if (rows.length < SCAN_LIMIT_ROWS) return sums;
      fromKey = rows[rows.length - 1].key + '\0';
    }
  };
  /**
   * Returns the sealed sums of a window, and seals them first if necessary.
   * Sealing makes every reporter send the same figures. Undefined sums are those
   * of a window that a restore may have unsealed.
   */
  const sealWindow = async (
    windowId: string,
    state: ReporterRow,
    version: number,
  ) => {
    const key = sealKey(windowId);
    const sealed = await table.get(key);
    if (sealed) {
      const row = await writeReporterRow(state, version);
      return row && {...row, sums: decodeUsageSums(sealed.value)};
    }
    const ownSeal = ownSeals.get(windowId);
    if (!ownSeal && windowId <= state.skipUnsealedUntil) {
      const row = await writeReporterRow(state, version);
      return row && {...row, sums: undefined};
    }
    const sums = ownSeal ?? (await sumWindow(windowId));
    const value = encodeUsageSums(sums);
    const seal = {key, value, expectedVersion: 0};
    const row = await writeReporterRow(state, version, [seal]);
    if (row) keepSeal(windowId, sums);
    return row && {...row, sums};
  };
  const keepSeal = (windowId: string, sums: UsageSums) => {
    ownSeals.set(windowId, sums);
    const [oldest] = ownSeals.keys();
    if (ownSeals.size > MAX_OWN_SEALS) ownSeals.delete(oldest);
  };
  const sendReports = async (windowId: string, sums: UsageSums) => {
    const organisations = [...sums].map(([organisation, usage]) => ({
      windowId,
      organisation,
      ...usage,
    }));
    // Read the token in the same synchronous step that sends the report.
    const fencingToken = options.fencingToken();
    if (fencingToken === undefined) return false;
    const isAccepted = await receiver.report(
      {windowId, organisations, fencingToken},
      () => options.fencingToken() !== undefined,
    );
    if (isAccepted) options.onReported(windowId, organisations.length);
    return isAccepted;
  };
  const reportWindow = async (windowId: string): Promise<boolean> => {
    if (!(await closeWindow(windowId))) return false;
    const reporterRow = await readReporterRow();
    if (!reporterRow) return false;
    const {state, version} = reporterRow;
    const sealed = await sealWindow(windowId, state, version);
    if (!sealed) return false;
    if (!sealed.sums) options.onSkipped?.(windowId);
    else if (!(await sendReports(windowId, sealed.sums))) return false;
    const next = {...state, reportedUntil: windowId};
    return (await writeReporterRow(next, sealed.version)) !== undefined;
  };
  /** Finds the oldest window with stored usage. */
  const findOldestWindow = async (): Promise<string | undefined> => {
    const [row] = await table.scan(SUMS_PREFIX, prefixEnd(SUMS_PREFIX), 1);
    return row?.key.slice(SUMS_PREFIX.length).split('/')[0];
  };
  const findDueWindow = async (): Promise<string | undefined> => {
    // A new term may follow a restore, which changes what is due.
    const isSameTerm = options.fencingToken() === lastToken;
    if (isSameTerm && options.wallMs() < nextDueMs) return undefined;
    const reporterRow = await readReporterRow();
    if (!reporterRow) return undefined;
    const {reportedUntil} = reporterRow.state;
    if (reporterRow.wasRestored) {
      const {state, version} = reporterRow;
      if (!(await writeReporterRow(state, version))) return undefined;
    }
    const windowId = reportedUntil
      ? windowIdAt(windowEndMs(reportedUntil, windowMs), windowMs)
      : await findOldestWindow();
    if (windowId === undefined) return undefined;
    const dueMs = windowEndMs(windowId, windowMs) + closeDelayMs;
    if (dueMs <= options.wallMs()) return windowId;
    nextDueMs = dueMs;
    return undefined;
  };
  /** Removes the rows of reported windows that ended before the retention time. */
  const removeOldRows = async () => {
    const cutoff = windowIdAt(options.wallMs() - RETENTION_MS, windowMs);
    const reporterRow = await readReporterRow();
    if (!reporterRow || reporterRow.state.reportedUntil < cutoff) return;
    for (const prefix of [SUMS_PREFIX, CLOSED_PREFIX, SEAL_PREFIX]) {
      for (;;) {
        const end = prefix + cutoff;
        const rows = await table.scan(prefix, end, REMOVAL_BATCH_ROWS);
        if (rows.length === 0) break;
        await table.transact(
          rows.map(({key}) => ({key, value: null, expectedVersion: null})),
        );
        if (rows.length < REMOVAL_BATCH_ROWS) break;
      }
    }
  };
  return {
    async run() {
      for (;;) {
        const windowId = await findDueWindow();
        if (windowId === undefined || !(await reportWindow(windowId))) break;
      }
      if (options.wallMs() < nextRemovalMs) return;
      nextRemovalMs = options.wallMs() + REMOVAL_INTERVAL_MS;
      await removeOldRows();
    },
  };
}
