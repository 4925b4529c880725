import type {FeedChanges, FeedPage, RecordFeed} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';

/** A replica of a feed at another process; it has the versions of the origin. */
export interface FeedReplica<T> {
  /** Name of the process that has the replica, for logs. */
  name: string;
  feed: RecordFeed<T>;
}

/** Options for createFailoverFeed. */
export interface FailoverFeedOptions<T> {
  /** Feed of the store that owns the records. */
  origin: RecordFeed<T>;
  /** Returns the replica to read now; undefined to read the origin. */
  chooseReplica: () => FeedReplica<T> | undefined;
  /** Time for which the origin is read after a replica has failed, in milliseconds. */
  originFallbackMs: number;
  clock: Clock;
  onReplicaFailed: (name: string, reason: string) => void;
  /** Called on each change of the source with the name of the replica; undefined for the origin. */
  onSourceChanged: (name: string | undefined) => void;
}

/** A feed that reads a replica if there is one, and the origin otherwise. */
export interface FailoverFeed<T> extends RecordFeed<T> {
  /** Whether the origin is the current source. */
  readonly isReadingOrigin: boolean;
}

/**
 * Creates a feed that reads a replica, and the origin while there is no replica or
 * after the replica failed. All sources use the versions of the origin, so the feed
 * continues at the last version when the source changes. If the last page of a replica
 * still contained removed records, all records are read again: their removal has an
 * older version, so that the new source would not report it.
 */
export function createFailoverFeed<T>(
  options: FailoverFeedOptions<T>,
): FailoverFeed<T> {
  const {origin, clock} = options;
  let current: FeedReplica<T> | undefined;
  let originUntilMs = -Infinity;
  /** Latest version that the reader has; a replica with an older one counts as failed. */
  let lastVersion = 0;

  const chooseSource = () =>
    clock.monotonicMs() < originUntilMs ? undefined : options.chooseReplica();
  const switchTo = (replica: FeedReplica<T> | undefined) => {
    const isChange = replica?.name !== current?.name;
    current = replica;
    if (isChange) options.onSourceChanged(replica?.name);
  };
  const fallBackToOrigin = (replica: FeedReplica<T>, error: unknown) => {
    originUntilMs = clock.monotonicMs() + options.originFallbackMs;
    const reason = error instanceof Error ? error.message : String(error);
    options.onReplicaFailed(replica.name, reason);
    switchTo(undefined);
  };
  const checkVersion = ({version}: FeedPage<T>) => {
    if (version < lastVersion) {
      throw new Error(`version ${version} is behind version ${lastVersion}`);
    }
  };
  const checkChanges = (changes: FeedChanges<T>) => {
    if (changes.kind !== 'historyLost') checkVersion(changes.page);
    return changes;
  };
  return {
    get isReadingOrigin() {
      return current === undefined;
    },
    async readAll() {
      const replica = chooseSource();
      switchTo(replica);
      if (replica) {
        try {
          const page = await replica.feed.readAll();
          checkVersion(page);
          return page;
        } catch (error) {
          fallBackToOrigin(replica, error);
        }
      }
      const page = await origin.readAll();
      lastVersion = page.version;
      return page;
    },
    async waitForChanges(afterVersion, waitMs, bookmark) {
      lastVersion = afterVersion;
      const hasRemovedRecords = bookmark?.hasRemovedRecords ?? false;
      const previous = current;
      const replica = chooseSource();
      if (replica?.name !== previous?.name) {
        switchTo(replica);
        if (hasRemovedRecords) return {kind: 'historyLost'};
      }
      if (replica) {
        try {
          return checkChanges(
            await replica.feed.waitForChanges(afterVersion, waitMs, bookmark),
          );
        } catch (error) {
          fallBackToOrigin(replica, error);
          if (hasRemovedRecords) return {kind: 'historyLost'};
        }
      }
      return checkChanges(await origin.waitForChanges(afterVersion, waitMs));
    },
  };
}
