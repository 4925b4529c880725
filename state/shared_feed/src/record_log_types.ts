/** What changed in a log since a position. */
export interface LogChanges<T> {
  /** Tells this log from the one of an earlier process. */
  epoch: string;
  /** Position up to which the changes are complete. */
  position: number;
  /** Whether these are all records rather than those that changed. */
  isWhole: boolean;
  changed: readonly T[];
  removedKeys: readonly string[];
}

/** A place in a log, as its reader remembers it. */
export interface LogPosition {
  epoch: string;
  position: number;
}
