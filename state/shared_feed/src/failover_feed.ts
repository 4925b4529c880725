import type {FeedChanges, FeedPage, RecordFeed} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** A copy of the feed that another process keeps. */
export interface FeedCopy<T> {
  /** Name of the process, for logs. */
  name: string;
  feed: RecordFeed<T>;
}

/** What a failover feed is made of. */
export interface FailoverFeedOptions<T> {
  /** The records themselves. */
  origin: RecordFeed<T>;
  /** The copy to follow now; undefined where the origin is to be read. */
  chooseCopy: () => FeedCopy<T> | undefined;
  /** Time after a copy failed for which the origin is read, in milliseconds. */
  originTimeMs: number;
  clock: Clock;
  onCopyFailed: (name: string, reason: string) => void;
  /** Told which copy is followed from now on, or that it is the origin. */
  onSourceChanged: (name: string | undefined) => void;
}

/** A feed that follows a copy where there is one. */
export interface FailoverFeed<T> extends RecordFeed<T> {
  /** Whether the origin is being followed. */
  readonly isAtOrigin: boolean;
}

/**
 * Makes a feed that follows a copy, and the origin while no copy can be
 * trusted. Positions of one source say nothing at another one, so that each
 * change of the source begins with reading everything.
 */
export function createFailoverFeed<T>(
  options: FailoverFeedOptions<T>,
): FailoverFeed<T> {
  const {origin, clock} = options;
  let current: FeedCopy<T> | undefined;
  let originUntilMs = -Infinity;

  const wanted = () =>
    clock.monotonicMs() < originUntilMs ? undefined : options.chooseCopy();
  const follow = (copy: FeedCopy<T> | undefined) => {
    const isChange = copy?.name !== current?.name;
    current = copy;
    if (isChange) options.onSourceChanged(copy?.name);
  };
  const giveUp = (copy: FeedCopy<T>, error: unknown) => {
    originUntilMs = clock.monotonicMs() + options.originTimeMs;
    const reason = error instanceof Error ? error.message : String(error);
    options.onCopyFailed(copy.name, reason);
    follow(undefined);
  };
  return {
    get isAtOrigin() {
      return current === undefined;
    },
    async readAll(): Promise<FeedPage<T>> {
      const copy = wanted();
      follow(copy);
      if (!copy) return origin.readAll();
      try {
        return await copy.feed.readAll();
      } catch (error) {
        giveUp(copy, error);
        return origin.readAll();
      }
    },
    async waitForChanges(afterVersion, waitMs): Promise<FeedChanges<T>> {
      const copy = current;
      if (wanted()?.name !== copy?.name) return {kind: 'historyLost'};
      if (!copy) return origin.waitForChanges(afterVersion, waitMs);
      try {
        return await copy.feed.waitForChanges(afterVersion, waitMs);
      } catch (error) {
        giveUp(copy, error);
        return {kind: 'historyLost'};
      }
    },
  };
}
