/** One record of a feed. */
export interface FeedEntry<T> {
  key: string;
  /** Undefined if the record was deleted or is invalid. */
  value: T | undefined;
  /** Reasons why the record is invalid, or which values of a valid one are ignored. */
  findings: readonly string[];
}

/** Records, and the version up to which they include all changes. */
export interface FeedPage<T> {
  entries: ReadonlyArray<FeedEntry<T>>;
  version: number;
  /**
   * Age of the records when the page was sent, in milliseconds; absent if they
   * come from the origin, where they are current.
   */
  ageMs?: number;
}

/** Result of a wait for changes. */
export type FeedChanges<T> =
  | {kind: 'changes'; page: FeedPage<T>}
  /** All records, sent if the changes alone are not known. */
  | {kind: 'snapshot'; page: FeedPage<T>}
  /**
   * The changes after the version are no longer known; all records must be read
   * again.
   */
  | {kind: 'historyLost'};

/**
 * Reads records of the platform and waits for changes to them. Each call makes
 * one attempt.
 */
export interface RecordFeed<T> {
  readAll(): Promise<FeedPage<T>>;
  /**
   * Long poll: resolves with the changes after a version, or without changes
   * after `waitMs`.
   */
  waitForChanges(afterVersion: number, waitMs: number): Promise<FeedChanges<T>>;
}
