import {
  createDutyCandidacy,
  startUsageDuty,
  type DutyPeer,
} from '@sardinestile/duties';
import type {Logger} from '@sardinestile/logger';
import type {TableService, UsageReceiver} from '@sardinestile/ports';
import type {RelayedUsage} from '@sardinestile/peer';
import type {Clock} from '@sardinestile/types';
import {
  createUsageAccumulator,
  type UsageAccumulator,
} from '@sardinestile/usage';

/**
 * Interval at which this gateway stores its counts, in milliseconds; a killed
 * gateway loses its later counts.
 */
const FLUSH_INTERVAL_MS = 1_500;

/** Delay after the end of a window before its last counts are stored, in milliseconds. */
const FLUSH_DELAY_MS = 60;

/**
 * Delay after its end before a window is closed, in milliseconds; it allows for
 * the last write and one retry.
 */
const CLOSE_DELAY_MS = 1_200;

/** Interval at which the lease holder looks for windows to report, in milliseconds. */
const REPORT_INTERVAL_MS = 400;

/** Time limit for sending a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_500;

/** Number of times that the lease is checked or renewed within its duration. */
const LEASE_CHECKS_PER_DURATION = 3;

/** Options for `startUsageDuties`. */
export interface UsageDutiesOptions {
  instance: string;
  table: TableService;
  usageReceiver: UsageReceiver;
  clock: Clock;
  peerAdjustedTimeMs: () => number;
  windowMs: number;
  leaseMs: number;
  /** Other gateways whose heartbeats arrived recently. */
  peers: () => readonly DutyPeer[];
  isStopping: () => boolean;
  /** Asks a peer to store counts; rejects if no peer could. */
  relay: (usage: RelayedUsage) => Promise<void>;
  logger: Logger;
}

/** Counts this gateway's usage and, while it holds the lease, reports the usage of all gateways. */
export interface UsageDuties {
  readonly source: UsageAccumulator;
  /** Whether any gateway was recently seen to hold the lease for reporting. */
  isDutyHeld(): boolean;
  /** Fencing token of this gateway; undefined unless it holds the lease. */
  fencingToken(): number | undefined;
  /** Stores the counts so far. */
  flush(): Promise<void>;
  /** Stops reporting and stores the counts so far. */
  stop(): Promise<void>;
}

/** Starts counting usage and competing for the lease for reporting. */
export function startUsageDuties(options: UsageDutiesOptions): UsageDuties {
  const {
    instance,
    table,
    clock,
    logger,
    windowMs,
    peerAdjustedTimeMs,
    leaseMs,
  } = options;
  const sourceName = `${instance}-${Math.round(clock.wallMs())}`;
  const source = createUsageAccumulator({
    source: sourceName,
    table,
    wallMs: peerAdjustedTimeMs,
    windowMs,
  });
  /** Asks peers to store the counts that this gateway could not store. */
  const relayUnsaved = async () => {
    for (const {windowId, sums} of source.unwrittenSums()) {
      await options.relay({source: sourceName, windowId, sums});
    }
  };
  const flush = async () => {
    try {
      await source.flush();
    } catch (error) {
      const reason = (error as Error).message;
      logger.warn('store_failed', {operation: 'write usage', reason});
      await relayUnsaved().catch((relayError: Error) =>
        logger.warn('store_failed', {
          operation: 'relay usage',
          reason: relayError.message,
        }),
      );
    }
  };
  let timer: NodeJS.Timeout;
  const schedule = () => {
    const untilLastFlushMs =
      windowMs - (peerAdjustedTimeMs() % windowMs) + FLUSH_DELAY_MS;
    const delayMs = Math.min(FLUSH_INTERVAL_MS, untilLastFlushMs);
    timer = setTimeout(() => {
      void flush();
      schedule();
    }, delayMs);
  };
  schedule();
  const candidacy = createDutyCandidacy({
    instance,
    clock,
    leaseMs,
    peers: options.peers,
    isStopping: options.isStopping,
  });
  const duty = startUsageDuty({
    instance,
    table,
    usageReceiver: options.usageReceiver,
    clock,
    logger,
    peerAdjustedTimeMs,
    windowMs,
    closeDelayMs: CLOSE_DELAY_MS,
    checkIntervalMs: REPORT_INTERVAL_MS,
    leaseOverrides: {
      durationMs: leaseMs,
      operationTimeoutMs: REPORT_TIMEOUT_MS,
      checkIntervalMs: leaseMs / LEASE_CHECKS_PER_DURATION,
      isAllowedToClaim: isHeld => candidacy.isAllowedToClaim(isHeld),
    },
  });

  return {
    source,
    flush,
    isDutyHeld: () => duty.isHeld(),
    fencingToken: () => duty.fencingToken(),
    async stop() {
      clearTimeout(timer);
      duty.stop();
      await flush();
    },
  };
}
