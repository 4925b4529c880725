import type {FeedChanges, FeedPage, RecordFeed} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** A copy of the feed that another process keeps, with the origin's versions. */
export interface FeedCopy<T> {
  /** Name of the process, for logs. */
  name: string;
  feed: RecordFeed<T>;
  /** Whether the copy held records lately that the origin no longer had. */
  hasLapsed: () => boolean;
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
 * trusted. Versions are the origin's everywhere, so that a change of the source
 * goes on where the last one ended. After a copy with lapsed records everything
 * is read: their removal came before the version that is known.
 */
export function createFailoverFeed<T>(
  options: FailoverFeedOptions<T>,
): FailoverFeed<T> {
  const {origin, clock} = options;
  let current: FeedCopy<T> | undefined;
  let originUntilMs = -Infinity;
  /** Version that was told last; a copy must not take it back. */
  let toldVersion = 0;

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
  const tell = ({version}: FeedPage<T>) => {
    if (version < toldVersion) {
      throw new Error(`version ${version} is behind version ${toldVersion}`);
    }
    toldVersion = version;
  };
  const tellChanges = (changes: FeedChanges<T>) => {
    if (changes.kind !== 'historyLost') tell(changes.page);
    return changes;
  };
  return {
    get isAtOrigin() {
      return current === undefined;
    },
    async readAll() {
      const copy = wanted();
      follow(copy);
      if (copy) {
        try {
          const page = await copy.feed.readAll();
          tell(page);
          return page;
        } catch (error) {
          giveUp(copy, error);
        }
      }
      const page = await origin.readAll();
      toldVersion = page.version;
      return page;
    },
    async waitForChanges(afterVersion, waitMs) {
      const left = current;
      const copy = wanted();
      if (copy?.name !== left?.name) {
        follow(copy);
        if (left?.hasLapsed()) return {kind: 'historyLost'};
      }
      if (copy) {
        try {
          return tellChanges(
            await copy.feed.waitForChanges(afterVersion, waitMs),
          );
        } catch (error) {
          giveUp(copy, error);
          if (copy.hasLapsed()) return {kind: 'historyLost'};
        }
      }
      return tellChanges(await origin.waitForChanges(afterVersion, waitMs));
    },
  };
}
