import type {Logger} from '@sardinestile/logger';
import {runLease, type RunLeaseOptions} from '@sardinestile/lease';
import type {TableService, UsageReceiver} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {createUsageReporter} from '@sardinestile/usage';
import {leaseOptions} from './lease_options.js';

/** Time between two looks for windows to report by default, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;

const DUTY = 'usage';

/** What the duty needs. */
export interface UsageDutyOptions {
  instance: string;
  table: TableService;
  receiver: UsageReceiver;
  clock: Clock;
  /** Time of day, corrected for steps of the clock. */
  trueTimeMs?: () => number;
  /** Length of a window; a minute by default. */
  windowMs?: number;
  /** Time after its end at which a window is closed. */
  closeDelayMs?: number;
  /** Time between two looks for windows to report. */
  intervalMs?: number;
  /** Where the lease differs from the usual one. */
  lease?: Partial<
    Pick<
      RunLeaseOptions,
      'durationMs' | 'orderTimeoutMs' | 'tickMs' | 'isCandidate'
    >
  >;
  logger: Logger;
}

/** A duty that this process has whenever it holds the lease. */
export interface Duty {
  stop(): void;
}

/** A duty that goes with a lease. */
export interface LeasedDuty extends Duty {
  /** Whether some process was seen to hold the lease lately. */
  isHeld(): boolean;
  /** The token if this process holds the lease now. */
  fencingToken(): number | undefined;
}

/** Reports usage while this process holds the lease. */
export function startUsageDuty(options: UsageDutyOptions): LeasedDuty {
  const {table, logger, clock} = options;
  const lease = runLease({
    ...leaseOptions(DUTY, options.instance, logger),
    ...options.lease,
    table,
    clock,
  });
  const reporter = createUsageReporter({
    table,
    receiver: options.receiver,
    wallMs: options.trueTimeMs ?? (() => clock.wallMs()),
    fencingToken: () => lease.fencingToken(),
    onReported: (windowId, organisations) =>
      logger.info('usage_reported', {windowId, organisations}),
    windowMs: options.windowMs,
    closeDelayMs: options.closeDelayMs,
  });
  let isRunning = false;
  const run = async () => {
    if (isRunning || lease.fencingToken() === undefined) return;
    isRunning = true;
    try {
      await reporter.run();
    } catch (error) {
      const reason = (error as Error).message;
      logger.warn('store_failed', {operation: 'report usage', reason});
    }
    isRunning = false;
  };
  const timer = setInterval(
    () => void run(),
    options.intervalMs ?? REPORT_INTERVAL_MS,
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
