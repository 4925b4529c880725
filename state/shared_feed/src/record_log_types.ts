/** What changed in a log since a position. */
export interface LogChanges<T> {
  /** Tells this log from the one of an earlier process. */
  epoch: string;
  /** Number of changes so far, up to which these are complete. */
  position: number;
  /** Version of the origin that the records are of. */
  version: number;
  /** Whether these are all records rather than those that changed. */
  isWhole: boolean;
  changed: readonly T[];
  removedKeys: readonly string[];
  /** Whether some records are kept although the origin no longer has them. */
  hasLapsed: boolean;
}

/** A place in one log, and the version of the origin that was known then. */
export interface LogPosition {
  /** Absent for a reader that comes from the origin or another log. */
  place?: {epoch: string; position: number};
  version: number;
}
