/** Changes in a record log since a position. */
export interface LogChanges<T> {
  /** Identifies this log, so that positions of an earlier process are recognised. */
  epoch: string;
  /** Number of the last change in the log; these changes are complete up to it. */
  position: number;
  /** Version of the origin that the records correspond to. */
  version: number;
  /** Whether `changed` contains all records rather than only the changed ones. */
  isWhole: boolean;
  changed: readonly T[];
  removedKeys: readonly string[];
  /** Whether the records include some that the origin no longer has. */
  hasLapsed: boolean;
}

/** Position up to which a reader knows the records. */
export interface LogPosition {
  /** Position in one log; absent for a reader that used another source before. */
  cursor?: {epoch: string; position: number};
  /** Version of the origin that the reader knows. */
  version: number;
}
