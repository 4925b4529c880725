import {
  createDutyCandidacy,
  startUsageDuty,
  type DutyPeer,
} from '@sardinestile/duties';
import type {Logger} from '@sardinestile/logger';
import type {TableService, UsageReceiver} from '@sardinestile/ports';
import type {RelayedUsage} from '@sardinestile/peer';
import type {Clock} from '@sardinestile/types';
import {createUsageSource, type UsageSource} from '@sardinestile/usage';

/** Time between two writes of this gateway's counts, in milliseconds; a killed gateway loses what it counted since. */
const FLUSH_INTERVAL_MS = 1_500;

/** Time after the end of a window at which its last counts are written, in milliseconds. */
const FLUSH_DELAY_MS = 60;

/** Time after its end at which a window is closed, in milliseconds; the last write and a retry of it fit in. */
const CLOSE_DELAY_MS = 1_200;

/** Time between two looks for windows to report, in milliseconds. */
const REPORT_INTERVAL_MS = 400;

/** Longest time that a report may be on its way, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_500;

/** Looks at the lease in each of its terms. */
const LOOKS_A_TERM = 3;

/** What counting and reporting need. */
export interface UsageDutiesOptions {
  instance: string;
  table: TableService;
  receiver: UsageReceiver;
  clock: Clock;
  trueTimeMs: () => number;
  windowMs: number;
  leaseMs: number;
  /** The other gateways that were heard lately. */
  peers: () => readonly DutyPeer[];
  isStopping: () => boolean;
  /** Has a peer store counts; rejects if none could. */
  relay: (usage: RelayedUsage) => Promise<void>;
  logger: Logger;
}

/** Counts this gateway's usage and, when it holds the lease, reports everyone's. */
export interface UsageDuties {
  readonly source: UsageSource;
  /** Whether some gateway was seen to hold the duty of reporting lately. */
  isDutyHeld(): boolean;
  /** The token of this gateway; undefined unless it holds the duty. */
  fencingToken(): number | undefined;
  /** Writes the counts so far. */
  flush(): Promise<void>;
  stop(): Promise<void>;
}

/** Starts to count, and to compete for the duty of reporting. */
export function startUsageDuties(options: UsageDutiesOptions): UsageDuties {
  const {instance, table, clock, logger, windowMs, trueTimeMs, leaseMs} =
    options;
  const sourceName = `${instance}-${Math.round(clock.wallMs())}`;
  const source = createUsageSource({
    source: sourceName,
    table,
    wallMs: trueTimeMs,
    windowMs,
  });
  /** Has peers store what the store did not take from this gateway. */
  const relayUnsaved = async () => {
    for (const {windowId, sums} of source.unsaved()) {
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
    const toEndMs = windowMs - (trueTimeMs() % windowMs) + FLUSH_DELAY_MS;
    const delayMs = Math.min(FLUSH_INTERVAL_MS, toEndMs);
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
    receiver: options.receiver,
    clock,
    logger,
    trueTimeMs,
    windowMs,
    closeDelayMs: CLOSE_DELAY_MS,
    intervalMs: REPORT_INTERVAL_MS,
    lease: {
      durationMs: leaseMs,
      orderTimeoutMs: REPORT_TIMEOUT_MS,
      tickMs: leaseMs / LOOKS_A_TERM,
      isCandidate: isHeld => candidacy.isCandidate(isHeld),
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
