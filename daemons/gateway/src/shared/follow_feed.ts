import type {ClockReading} from '@sardinestile/freshness';
import {readClocks, subtractMs} from '@sardinestile/freshness';
import type {FeedBookmark, FeedPage, RecordFeed} from '@sardinestile/ports';
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
  let bookmark: FeedBookmark | undefined;
  let retryDelayMs = MIN_RETRY_DELAY_MS;
  let failingSinceMs: number | undefined;
  /** Incremented by each restart, so that results of earlier calls are dropped. */
  let epoch = 0;

  const isCurrent = (callEpoch: number) => callEpoch === epoch && !isStopped;
  /** Moves the place on only once the page was applied, so that a failure repeats it. */
  const apply = (
    callEpoch: number,
    page: FeedPage<T>,
    isSnapshot: boolean,
    sentAt: ClockReading,
  ) => {
    if (isSnapshot || page.entries.length > 0) {
      observer.onPage(page, isSnapshot);
    }
    // The observer may have restarted the feed.
    if (!isCurrent(callEpoch)) return;
    version = Math.max(version ?? page.version, page.version);
    bookmark = page.bookmark;
    observer.onUpToDate(subtractMs(sentAt, page.ageMs ?? 0), page);
  };
  /** Makes one call; returns false, and changes nothing, if its run was replaced meanwhile. */
  const step = async (callEpoch: number): Promise<boolean> => {
    const sentAt = readClocks(clock);
    if (version === undefined) {
      const page = await feed.readAll();
      if (!isCurrent(callEpoch)) return false;
      apply(callEpoch, page, true, sentAt);
      return true;
    }
    const changes = await feed.waitForChanges(
      version,
      options.waitMs,
      bookmark,
    );
    if (!isCurrent(callEpoch)) return false;
    if (changes.kind === 'historyLost') version = undefined;
    else apply(callEpoch, changes.page, changes.kind === 'snapshot', sentAt);
    return true;
  };
  const run = async (callEpoch: number) => {
    while (isCurrent(callEpoch)) {
      const startedAtMs = clock.monotonicMs();
      try {
        if (!(await step(callEpoch))) return;
        retryDelayMs = MIN_RETRY_DELAY_MS;
        const nowMs = clock.monotonicMs();
        if (failingSinceMs !== undefined) {
          observer.onRecovered(nowMs - failingSinceMs);
          failingSinceMs = undefined;
        }
        const leftMs = minIntervalMs() - (nowMs - startedAtMs);
        if (leftMs > 0) await sleep(leftMs);
      } catch (error) {
        if (!isCurrent(callEpoch)) return;
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
      bookmark = undefined;
      void run(epoch);
    },
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
