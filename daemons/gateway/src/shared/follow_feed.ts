import type {ClockReading} from '@sardinestile/freshness';
import {readClocks, subtractMs} from '@sardinestile/freshness';
import type {FeedPage, RecordFeed} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** First and longest delay before the retry of a failed call, in milliseconds. */
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 400;

/** Callbacks of `followFeed`. */
export interface FeedObserver<T> {
  /** Called for each page; one with `isSnapshot` holds all records, others only the changed ones. */
  onPage(page: FeedPage<T>, isSnapshot: boolean): void;
  /** Called when all changes up to `sentAt` were received, the last ones with `page`. */
  onUpToDate(sentAt: ClockReading, page: FeedPage<T>): void;
  /** Called for each failed call; the call is retried. */
  onFailure(reason: string): void;
  /** Called at the first success after failures, with the time since the first failure. */
  onRecovered(outageMs: number): void;
}

/** Options for `followFeed`. */
export interface FollowFeedOptions<T> {
  feed: RecordFeed<T>;
  clock: Clock;
  /** Longest wait of one call, in milliseconds; `sentAt` may be as old as this. */
  waitMs: number;
  /**
   * Shortest time between the starts of two calls, in milliseconds; changes in
   * between come in one page.
   */
  minIntervalMs?: () => number;
  observer: FeedObserver<T>;
}

/** Handle of a feed that is followed. */
export interface FollowedFeed {
  /** Version up to which all records are known; undefined until they have been read. */
  readonly version: number | undefined;
  stop(): void;
  /** Reads all records again, for instance after the process was paused. */
  restart(): void;
}

/**
 * Follows a feed until `stop`. Reads all records first, and again if the feed
 * no longer has the changes since the known version.
 */
export function followFeed<T>(options: FollowFeedOptions<T>): FollowedFeed {
  const {feed, clock, observer, minIntervalMs = () => 0} = options;
  let isStopped = false;
  let version: number | undefined;
  let retryDelayMs = MIN_RETRY_DELAY_MS;
  let failingSinceMs: number | undefined;
  /** Incremented by each restart, so that results of earlier calls are dropped. */
  let epoch = 0;

  const step = async (callEpoch: number): Promise<void> => {
    const sentAt = readClocks(clock);
    const isCurrent = () => callEpoch === epoch && !isStopped;
    if (version === undefined) {
      const page = await feed.readAll();
      if (!isCurrent()) return;
      version = page.version;
      observer.onPage(page, true);
      observer.onUpToDate(subtractMs(sentAt, page.ageMs ?? 0), page);
      return;
    }
    const changes = await feed.waitForChanges(version, options.waitMs);
    if (!isCurrent()) return;
    if (changes.kind === 'historyLost') {
      version = undefined;
      return;
    }
    version = Math.max(version, changes.page.version);
    const isSnapshot = changes.kind === 'snapshot';
    if (isSnapshot || changes.page.entries.length > 0) {
      observer.onPage(changes.page, isSnapshot);
    }
    const {page} = changes;
    observer.onUpToDate(subtractMs(sentAt, page.ageMs ?? 0), page);
  };
  const run = async (callEpoch: number) => {
    while (!isStopped && callEpoch === epoch) {
      const startedAtMs = clock.monotonicMs();
      try {
        await step(callEpoch);
        retryDelayMs = MIN_RETRY_DELAY_MS;
        const nowMs = clock.monotonicMs();
        if (failingSinceMs !== undefined) {
          observer.onRecovered(nowMs - failingSinceMs);
          failingSinceMs = undefined;
        }
        const leftMs = minIntervalMs() - (nowMs - startedAtMs);
        if (leftMs > 0) await sleep(leftMs);
      } catch (error) {
        if (isStopped || callEpoch !== epoch) return;
        failingSinceMs ??= startedAtMs;
        observer.onFailure(
          error instanceof Error ? error.message : String(error),
        );
        await sleep(retryDelayMs * (0.5 + Math.random()));
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
      }
    }
  };
  void run(epoch);
  return {
    get version() {
      return version;
    },
    stop() {
      isStopped = true;
    },
    restart() {
      epoch++;
      version = undefined;
      void run(epoch);
    },
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
