import type {TableService, UsageReceiver} from '@sardinestile/ports';
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
  windowEndMs,
  windowIdAt,
} from './usage_keys.js';
import {addAllUsage, usageSumsSchema, type UsageSums} from './usage_sums.js';

/** Time after its end at which a window is closed by default, in milliseconds. */
const CLOSE_DELAY_MS = 15_000;

/** Time for which rows of reported windows are kept, in milliseconds; long after their sources could still write. */
const RETENTION_MS = 3_600_000;

/** Time between two removals of old rows, in milliseconds. */
const REMOVAL_INTERVAL_MS = 60_000;

/** Rows that are removed in one transaction at most; the platform takes a hundred entries. */
const REMOVAL_BATCH = 90;

/** Rows that one read of a window's sums returns at most. */
const SCAN_LIMIT = 1_000;

const reporterRowSchema = z.object({
  fencingToken: z.number().int(),
  /** The last window that was reported whole; empty for none. */
  reportedUntil: z.string(),
});
type ReporterRow = z.infer<typeof reporterRowSchema>;

/** What a reporter needs. */
export interface UsageReporterOptions {
  table: TableService;
  receiver: UsageReceiver;
  wallMs: () => number;
  /** Length of a window; a minute by default. */
  windowMs?: number;
  /** Time after its end at which a window is closed. */
  closeDelayMs?: number;
  /** The fencing token if this process is in charge in this synchronous step. */
  fencingToken: () => number | undefined;
  onReported: (windowId: string, organisations: number) => void;
}

/** Closes, seals and reports windows while this process is in charge. */
export interface UsageReporter {
  /** Reports every window that is due; rejects if the platform fails. */
  run(): Promise<void>;
}

/** Makes a reporter. */
export function createUsageReporter(
  options: UsageReporterOptions,
): UsageReporter {
  const {table, receiver, windowMs} = options;
  const closeDelayMs = options.closeDelayMs ?? CLOSE_DELAY_MS;

  /** Before this time no window is due, as far as is known. */
  let nothingDueUntilMs = -Infinity;
  let nextRemovalMs = options.wallMs() + REMOVAL_INTERVAL_MS;

  /** Makes this process the reporter of record, or gives undefined. */
  const takeOver = async () => {
    const fencingToken = options.fencingToken();
    if (fencingToken === undefined) return undefined;
    const row = await table.get(REPORTER_KEY);
    const known = row
      ? reporterRowSchema.parse(JSON.parse(row.value))
      : {fencingToken: 0, reportedUntil: ''};
    if (known.fencingToken > fencingToken) return undefined;
    return {state: {...known, fencingToken}, version: row?.version ?? 0};
  };
  /** Moves the reporter's row on; undefined if another process is in charge. */
  const advance = async (
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
    await table.transact([{key, value: '1', expectedVersion: 0}]);
    return (await table.get(key)) !== undefined;
  };
  /** The sums of a closed window; no source can change them any more. */
  const sumWindow = async (windowId: string): Promise<UsageSums> => {
    const prefix = sumsPrefix(windowId);
    const sums: UsageSums = {};
    let fromKey = prefix;
    for (;;) {
      const rows = await table.scan(fromKey, prefixEnd(prefix), SCAN_LIMIT);
      rows.forEach(row =>
        addAllUsage(sums, usageSumsSchema.parse(JSON.parse(row.value))),
      );
      if (rows.length < SCAN_LIMIT) return sums;
      fromKey = rows[rows.length - 1].key + '\0';
    }
  };
  /** The sealed figures of a window; sealed now if they were not. */
  const sealWindow = async (
    windowId: string,
    state: ReporterRow,
    version: number,
  ) => {
    const key = sealKey(windowId);
    const sealed = await table.get(key);
    if (sealed) {
      const row = await advance(state, version);
      return row && {...row, sums: parseSums(sealed.value)};
    }
    const sums = await sumWindow(windowId);
    const value = JSON.stringify(sums);
    const seal = {key, value, expectedVersion: 0};
    const row = await advance(state, version, [seal]);
    return row && {...row, sums};
  };
  const sendReports = async (windowId: string, sums: UsageSums) => {
    const organisations = Object.entries(sums).map(([organisation, usage]) => ({
      windowId,
      organisation,
      ...usage,
    }));
    // The token is read in the step that sends.
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
    const reporter = await takeOver();
    if (!reporter) return false;
    const {state, version} = reporter;
    const sealed = await sealWindow(windowId, state, version);
    if (!sealed || !(await sendReports(windowId, sealed.sums))) return false;
    const next = {...state, reportedUntil: windowId};
    return (await advance(next, sealed.version)) !== undefined;
  };
  /** The oldest window that has usage; undefined if there is none. */
  const oldestWindow = async (): Promise<string | undefined> => {
    const [row] = await table.scan(SUMS_PREFIX, prefixEnd(SUMS_PREFIX), 1);
    return row?.key.slice(SUMS_PREFIX.length).split('/')[0];
  };
  const nextWindow = async (): Promise<string | undefined> => {
    if (options.wallMs() < nothingDueUntilMs) return undefined;
    const reporter = await takeOver();
    if (!reporter) return undefined;
    const {reportedUntil} = reporter.state;
    const windowId = reportedUntil
      ? windowIdAt(windowEndMs(reportedUntil, windowMs), windowMs)
      : await oldestWindow();
    if (windowId === undefined) return undefined;
    const dueMs = windowEndMs(windowId, windowMs) + closeDelayMs;
    if (dueMs <= options.wallMs()) return windowId;
    nothingDueUntilMs = dueMs;
    return undefined;
  };
  /** Removes rows of windows that ended long ago; the reported ones alone. */
  const removeOldRows = async () => {
    const cutoff = windowIdAt(options.wallMs() - RETENTION_MS, windowMs);
    const reporter = await takeOver();
    if (!reporter || reporter.state.reportedUntil < cutoff) return;
    for (const prefix of [SUMS_PREFIX, CLOSED_PREFIX, SEAL_PREFIX]) {
      for (;;) {
        const end = prefix + cutoff;
        const rows = await table.scan(prefix, end, REMOVAL_BATCH);
        if (rows.length === 0) break;
        await table.transact(
          rows.map(({key}) => ({key, value: null, expectedVersion: null})),
        );
        if (rows.length < REMOVAL_BATCH) break;
      }
    }
  };
  return {
    async run() {
      for (;;) {
        const windowId = await nextWindow();
        if (windowId === undefined || !(await reportWindow(windowId))) break;
      }
      if (options.wallMs() < nextRemovalMs) return;
      nextRemovalMs = options.wallMs() + REMOVAL_INTERVAL_MS;
      await removeOldRows();
    },
  };
}

function parseSums(value: string): UsageSums {
  return usageSumsSchema.parse(JSON.parse(value));
}
