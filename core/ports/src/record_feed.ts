/** One record of a feed. */
export interface FeedEntry<T> {
  key: string;
  /** Undefined if the record was deleted or is invalid. */
  value: T | undefined;
  /** Reasons why the record is invalid, or which values of a valid one are ignored. */
  findings: readonly string[];
}

/** Place of a page in the source that it came from. */
export interface FeedBookmark {
  /** Identifies the source, so that places in another one are recognised. */
  epoch: string;
  position: number;
  /** Whether the page's records include some that the origin had already removed. */
  hasRemovedRecords: boolean;
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
  /** Absent if the version is the only place. */
  bookmark?: FeedBookmark;
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
 * one attempt. A feed keeps no place of its reader: several may read it at the
 * same time, and pages that a reader drops change nothing for another one.
 */
export interface RecordFeed<T> {
  readAll(): Promise<FeedPage<T>>;
  /**
   * Long poll: resolves with the changes after a version, or without changes
   * after `waitMs`. `bookmark` is that of the page which the reader applied last.
   */
  waitForChanges(
    afterVersion: number,
    waitMs: number,
    bookmark?: FeedBookmark,
  ): Promise<FeedChanges<T>>;
}
