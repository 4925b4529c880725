/** One record of a feed. */
export interface FeedEntry<T> {
  key: string;
  /** Absent if the record was removed or cannot be used. */
  value: T | undefined;
  /** Why the record cannot be used. */
  findings: readonly string[];
}

/** Records, and the version up to which they are complete. */
export interface FeedPage<T> {
  entries: ReadonlyArray<FeedEntry<T>>;
  version: number;
}

/** What came of a wait for changes. */
export type FeedChanges<T> =
  | {kind: 'changes'; page: FeedPage<T>}
  /** All records, where the changes alone are not known. */
  | {kind: 'whole'; page: FeedPage<T>}
  /** What changed is no longer known; all records have to be read again. */
  | {kind: 'historyLost'};

/** Records that the platform keeps, and news of them. Calls make one attempt. */
export interface RecordFeed<T> {
  readAll(): Promise<FeedPage<T>>;
  /** Resolves with the changes after a version, without any after `waitMs`. */
  waitForChanges(afterVersion: number, waitMs: number): Promise<FeedChanges<T>>;
}
