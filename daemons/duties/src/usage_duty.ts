import type {Logger} from '@sardinestile/logger';
import {runLease, type RunLeaseOptions} from '@sardinestile/lease';
import type {
  StoreRestores,
  TableService,
  UsageReceiver,
} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {createUsageReporter} from '@sardinestile/usage';
import {createLeaseOptions} from './lease_options.js';

/** Default time between two checks for usage windows to report. */
const REPORT_INTERVAL_MS = 5_000;

const USAGE_DUTY = 'usage';

/** Options for startUsageDuty. */
export interface UsageDutyOptions {
  instance: string;
  table: TableService;
  usageReceiver: UsageReceiver;
  clock: Clock;
  /**
   * Returns the wall-clock time corrected for clock steps, in milliseconds; the
   * clock's own by default.
   */
  peerAdjustedTimeMs?: () => number;
  /** Length of a usage window; a minute by default. */
  windowMs?: number;
  /**
   * Delay between the end of a window and its closing, in which late usage is
   * still added.
   */
  closeDelayMs?: number;
  /** Time between two checks for windows to report. */
  checkIntervalMs?: number;
  /** Overrides of the default lease options. */
  leaseOverrides?: Partial<
    Pick<
      RunLeaseOptions,
      | 'durationMs'
      | 'operationTimeoutMs'
      | 'checkIntervalMs'
      | 'isAllowedToClaim'
    >
  >;
  /** Restores of the store behind the table; none by default. */
  restores?: StoreRestores;
  logger: Logger;
}

/** A running duty; it acts only while this process holds its lease. */
export interface Duty {
  stop(): void;
}

/** A duty whose lease can be inspected. */
export interface LeasedDuty extends Duty {
  /** Whether any process was recently seen to hold the lease. */
  isHeld(): boolean;
  /**
   * Returns the fencing token if this process holds the lease; undefined
   * otherwise.
   */
  fencingToken(): number | undefined;
}

/**
 * Starts the duty that reports usage while this process holds the usage lease.
 */
export function startUsageDuty(options: UsageDutyOptions): LeasedDuty {
  const {table, logger, clock} = options;
  const lease = runLease({
    ...createLeaseOptions(USAGE_DUTY, options.instance, logger),
    ...options.leaseOverrides,
    table,
    clock,
    restores: options.restores,
  });
  const reporter = createUsageReporter({
    table,
    receiver: options.usageReceiver,
    wallMs: options.peerAdjustedTimeMs ?? (() => clock.wallMs()),
    fencingToken: () => lease.fencingToken(),
    onReported: (windowId, organisations) =>
      logger.info('usage_reported', {windowId, organisations}),
    onSkipped: windowId => logger.warn('usage_skipped', {windowId}),
    windowMs: options.windowMs,
    closeDelayMs: options.closeDelayMs,
  });
  let isReporting = false;
  const reportWindows = async () => {
    if (isReporting || lease.fencingToken() === undefined) return;
    isReporting = true;
    try {
      await reporter.run();
    } catch (error) {
      const reason = (error as Error).message;
      logger.warn('store_failed', {operation: 'report usage', reason});
    }
    isReporting = false;
  };
  const timer = setInterval(
    () => void reportWindows(),
    options.checkIntervalMs ?? REPORT_INTERVAL_MS,
  );
  return {
    isHeld: () => lease.isHeld(),
    fencingToken: () => lease.fencingToken(),
    stop() {
      clearInterval(timer);
      lease.stop();
    },
  };
}
