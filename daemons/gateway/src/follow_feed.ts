import type {ClockReading} from '@sardinestile/freshness';
import {readClocks} from '@sardinestile/freshness';
import type {FeedPage, RecordFeed} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** First and longest pause after a failed call, in milliseconds. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 400;

/** What a follower tells its owner. */
export interface FeedObserver<T> {
  /** `isWhole` pages hold every record; others only those that changed. */
  onPage(page: FeedPage<T>, isWhole: boolean): void;
  /** Everything up to `sentAt` is known. */
  onProof(sentAt: ClockReading): void;
  onFailure(reason: string): void;
  /** The first answer after failures came. */
  onRecovered(awayMs: number): void;
}

/** How a feed is followed. */
export interface FollowFeedOptions<T> {
  feed: RecordFeed<T>;
  clock: Clock;
  /** Longest wait of one call, in milliseconds; a proof is as old as the wait. */
  waitMs: number;
  /** Shortest time between two calls now; changes meanwhile come together. */
  minIntervalMs?: () => number;
  observer: FeedObserver<T>;
}

/** A feed that is being followed. */
export interface FollowedFeed {
  stop(): void;
  /** Reads everything again, for instance after the process stood still. */
  restart(): void;
}

/** Follows a feed until it is stopped; reads it whole at first and after lost history. */
export function followFeed<T>(options: FollowFeedOptions<T>): FollowedFeed {
  const {feed, clock, observer, minIntervalMs = () => 0} = options;
  let isStopped = false;
  let version: number | undefined;
  let pauseMs = MIN_PAUSE_MS;
  let failingSinceMs: number | undefined;
  /** Rises with each restart, so that answers to older calls are dropped. */
  let epoch = 0;

  const step = async (current: number): Promise<void> => {
    const sentAt = readClocks(clock);
    const isCurrent = () => current === epoch && !isStopped;
    if (version === undefined) {
      const page = await feed.readAll();
      if (!isCurrent()) return;
      version = page.version;
      observer.onPage(page, true);
      observer.onProof(sentAt);
      return;
    }
    const changes = await feed.waitForChanges(version, options.waitMs);
    if (!isCurrent()) return;
    if (changes.kind === 'historyLost') {
      version = undefined;
      return;
    }
    version = Math.max(version, changes.page.version);
    const isWhole = changes.kind === 'whole';
    if (isWhole || changes.page.entries.length > 0) {
      observer.onPage(changes.page, isWhole);
    }
    observer.onProof(sentAt);
  };
  const run = async (current: number) => {
    while (!isStopped && current === epoch) {
      const startedMs = clock.monotonicMs();
      try {
        await step(current);
        pauseMs = MIN_PAUSE_MS;
        const nowMs = clock.monotonicMs();
        if (failingSinceMs !== undefined) {
          observer.onRecovered(nowMs - failingSinceMs);
          failingSinceMs = undefined;
        }
        const leftMs = minIntervalMs() - (nowMs - startedMs);
        if (leftMs > 0) await pause(leftMs);
      } catch (error) {
        if (isStopped || current !== epoch) return;
        failingSinceMs ??= startedMs;
        observer.onFailure(
          error instanceof Error ? error.message : String(error),
        );
        await pause(pauseMs * (0.5 + Math.random()));
        pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
      }
    }
  };
  void run(epoch);
  return {
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

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
