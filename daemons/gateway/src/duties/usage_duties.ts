import {
  createDutyCandidacy,
  startUsageDuty,
  type DutyPeer,
} from '@sardinestile/duties';
import type {Logger} from '@sardinestile/logger';
import type {
  StoreRestores,
  TableService,
  UsageReceiver,
} from '@sardinestile/ports';
import type {RelayedUsage} from '@sardinestile/peer';
import type {Clock} from '@sardinestile/types';
import {
  createUsageAccumulator,
  createUsageBatchWriter,
  createUsageStoreRoute,
  type UsageAccumulator,
} from '@sardinestile/usage';

/**
 * Interval at which this gateway stores its counts, in milliseconds; a killed
 * gateway loses its later counts. Gateways store them at the same times, so
 * that one transaction holds those of several.
 */
const FLUSH_INTERVAL_MS = 1_500;

/**
 * Time for which counts of other gateways are collected before they are stored,
 * in milliseconds; it covers the differences of clocks.
 */
const COLLECT_MS = 120;

/** Delay after the end of a window before its last counts are stored, in milliseconds. */
const FLUSH_DELAY_MS = 60;

/**
 * Delay after its end before a window is closed, as a share of the time in which its
 * report is due. Counts that arrive later are lost; the rest of the time allows for an
 * outage of the receiver and for another lease holder.
 */
const CLOSE_DELAY_SHARE_OF_DUE = 0.4;

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
  /** Time after its end in which the report of a window is due, in milliseconds. */
  dueMs: number;
  leaseMs: number;
  restores: StoreRestores;
  /** Other gateways whose heartbeats arrived recently. */
  peers: () => readonly DutyPeer[];
  isStopping: () => boolean;
  /** Asks a peer to store counts; rejects if no peer could. */
  relay: (usage: RelayedUsage) => Promise<void>;
  /**
   * Gateway that stores this gateway's counts along with its own; undefined if
   * this gateway stores them itself.
   */
  writerAddress: () => string | undefined;
  /** Asks the gateway at an address to store counts; rejects if it could not. */
  relayTo: (address: string, usage: RelayedUsage) => Promise<void>;
  logger: Logger;
}

/** Counts this gateway's usage and, while it holds the lease, reports the usage of all gateways. */
export interface UsageDuties {
  readonly source: UsageAccumulator;
  /** Stores counts of another gateway. */
  storeForPeer(usage: RelayedUsage): Promise<void>;
  /** Whether any gateway was recently seen to hold the lease for reporting. */
  isDutyHeld(): boolean;
  /** Fencing token of this gateway; undefined unless it holds the lease. */
  fencingToken(): number | undefined;
  /** Stores the counts so far. */
  flush(): Promise<void>;
  /** Stores again what a restore of the store may have deleted. */
  recordRestore(): void;
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
    onPeerFailed: reason =>
      logger.warn('peer_failed', {operation: 'store usage', reason}),
  });
  const batchWriter = createUsageBatchWriter({table, collectMs: COLLECT_MS});
  const storeInBatch = createUsageStoreRoute({
    storeOwn: usage => batchWriter.store(usage),
    storeAtPeer(usage) {
      const address = options.writerAddress();
      return address === undefined
        ? options.relay(usage)
        : options.relayTo(address, usage);
    },
    prefersPeer: () => options.writerAddress() !== undefined,
    nowMs: () => clock.monotonicMs(),
  });
  /** Asks peers to store the counts that this gateway could not store. */
  const relayUnsaved = async () => {
    for (const {windowId, sums} of source.unwrittenSums()) {
      await options.relay({source: sourceName, windowId, sums});
    }
  };
  const flush = async (storeAtPeer?: typeof storeInBatch) => {
    try {
      await source.flush(storeAtPeer);
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
    const inWindowMs = peerAdjustedTimeMs() % windowMs;
    const untilLastFlushMs = windowMs - inWindowMs + FLUSH_DELAY_MS;
    const untilNextFlushMs =
      FLUSH_INTERVAL_MS - (inWindowMs % FLUSH_INTERVAL_MS);
    const delayMs = Math.min(untilNextFlushMs, untilLastFlushMs);
    timer = setTimeout(() => {
      void flush(storeInBatch);
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
    restores: options.restores,
    closeDelayMs: CLOSE_DELAY_SHARE_OF_DUE * options.dueMs,
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
    storeForPeer: usage => batchWriter.store(usage),
    flush: () => flush(),
    recordRestore() {
      batchWriter.restored();
      source.restored();
    },
    isDutyHeld: () => duty.isHeld(),
    fencingToken: () => duty.fencingToken(),
    async stop() {
      clearTimeout(timer);
      duty.stop();
      await flush();
    },
  };
}
