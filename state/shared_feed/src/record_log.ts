import {randomUUID} from 'node:crypto';
import type {LogChanges, LogPosition} from './record_log_types.js';

/** Number of changes that are kept; a reader that is further behind gets all records. */
const MAX_CHANGES = 2_000;

/** Options for createRecordLog. */
export interface RecordLogOptions<T> {
  /** Returns the unique key of a record. */
  keyOf: (record: T) => string;
  /** Whether two records with the same key are equal. */
  isSame: (one: T, other: T) => boolean;
}

/** All records of a process at one time. */
export interface RecordLogState<T> {
  records: readonly T[];
  /** Version of the origin that the records correspond to. */
  version: number;
  /** Whether the records include some that the origin no longer has. */
  hasLapsed: boolean;
}

/** The current records of a process and their latest changes, for other processes to follow. */
export interface RecordLog<T> {
  /** Replaces the records; only those that differ count as changed. */
  update(state: RecordLogState<T>): void;
  /** Returns the changes since a position, or all records if the log does not reach back to it. */
  changesSince(since: LogPosition | undefined): LogChanges<T>;
  /** Waits for a change or the timeout, then returns the result of `changesSince`. */
  waitForChanges(
    since: LogPosition | undefined,
    waitMs: number,
  ): Promise<LogChanges<T>>;
  /** Ends all pending calls of `waitForChanges`. */
  close(): void;
}

interface Change<T> {
  position: number;
  version: number;
  key: string;
  /** New value; undefined if the record was removed. */
  record: T | undefined;
}

/** Creates a log without records. */
export function createRecordLog<T>(options: RecordLogOptions<T>): RecordLog<T> {
  const {keyOf, isSame} = options;
  const epoch = randomUUID();
  const records = new Map<string, T>();
  /** Callbacks of the pending waits: check for changes, and end the wait. */
  const wakeCallbacks = new Set<() => void>();
  const endCallbacks = new Set<() => void>();
  let changes: Array<Change<T>> = [];
  let position = 0;
  let version = 0;
  let hasLapsed = false;
  /** Position and version directly before the oldest change that is kept. */
  let historyStart = {position: 0, version: Infinity};

  const append = (key: string, record: T | undefined) => {
    position++;
    changes.push({position, version, key, record});
    if (record) records.set(key, record);
    else records.delete(key);
  };
  const trim = () => {
    if (changes.length <= MAX_CHANGES) return;
    const dropped = changes.slice(0, -MAX_CHANGES / 2);
    changes = changes.slice(-MAX_CHANGES / 2);
    const {position, version} = dropped[dropped.length - 1];
    historyStart = {position, version};
  };
  /**
   * Returns a filter for the changes after a position; undefined if the log does
   * not reach back to it.
   */
  const newerChangeFilter = (since: LogPosition | undefined) => {
    if (since?.cursor?.epoch === epoch) {
      const {cursor} = since;
      if (cursor.position < historyStart.position) return undefined;
      return (change: Change<T>) => change.position > cursor.position;
    }
    if (!since || since.version < historyStart.version) return undefined;
    return (change: Change<T>) => change.version > since.version;
  };
  const changesSince = (since: LogPosition | undefined): LogChanges<T> => {
    const state = {epoch, position, version, hasLapsed};
    const isNewer = newerChangeFilter(since);
    if (!isNewer) {
      const changed = [...records.values()];
      return {...state, isWhole: true, changed, removedKeys: []};
    }
    const newest = new Map<string, T | undefined>();
    for (const change of changes) {
      if (isNewer(change)) newest.set(change.key, change.record);
    }
    return {
      ...state,
      isWhole: false,
      changed: [...newest.values()].filter(record => record !== undefined),
      removedKeys: [...newest.keys()].filter(
        key => newest.get(key) === undefined,
      ),
    };
  };
  /** Whether a reader has changes to receive; not if it knows a newer version than this log. */
  const hasChangesSince = (since: LogPosition | undefined) => {
    if (since && since.version > version) return false;
    const isNewer = newerChangeFilter(since);
    return !isNewer || changes.some(isNewer);
  };
  return {
    update(state) {
      const isFirst = historyStart.version === Infinity;
      version = state.version;
      hasLapsed = state.hasLapsed;
      const present = new Set(state.records.map(keyOf));
      for (const key of [...records.keys()]) {
        if (!present.has(key)) append(key, undefined);
      }
      for (const record of state.records) {
        const key = keyOf(record);
        const known = records.get(key);
        if (known === undefined || !isSame(known, record)) append(key, record);
      }
      if (isFirst) {
        changes = [];
        historyStart = {position, version};
      }
      trim();
      [...wakeCallbacks].forEach(wake => wake());
    },
    changesSince,
    async waitForChanges(since, waitMs) {
      if (!hasChangesSince(since)) {
        await new Promise<void>(resolve => {
          const end = () => {
            clearTimeout(timer);
            wakeCallbacks.delete(wake);
            endCallbacks.delete(end);
            resolve();
          };
          const wake = () => {
            if (hasChangesSince(since)) end();
          };
          const timer = setTimeout(end, waitMs);
          wakeCallbacks.add(wake);
          endCallbacks.add(end);
        });
      }
      return changesSince(since);
    },
    close: () => [...endCallbacks].forEach(end => end()),
  };
}
