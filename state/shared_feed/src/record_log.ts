import {randomUUID} from 'node:crypto';
import type {LogChanges, LogPosition} from './record_log_types.js';

/** Changes that are kept; who is further behind reads everything. */
const MAX_CHANGES = 2_000;

/** What a log holds. */
export interface RecordLogOptions<T> {
  keyOf: (record: T) => string;
  isSame: (one: T, other: T) => boolean;
}

/** The records that this process believes in at one time. */
export interface RecordLogState<T> {
  records: readonly T[];
  /** Version of the origin that they are of. */
  version: number;
  /** Whether some are kept although the origin no longer has them. */
  hasLapsed: boolean;
}

/** The records that this process believes in, and how they changed. */
export interface RecordLog<T> {
  /** Takes the state of now; what is the same as before is no change. */
  update(state: RecordLogState<T>): void;
  /** What changed since a position; everything where that is not known. */
  changesSince(since: LogPosition | undefined): LogChanges<T>;
  /** The same, once something has changed or the wait is over. */
  waitForChanges(
    since: LogPosition | undefined,
    waitMs: number,
  ): Promise<LogChanges<T>>;
  /** Ends all waits. */
  close(): void;
}

interface Change<T> {
  position: number;
  version: number;
  key: string;
  /** Undefined if it was removed. */
  record: T | undefined;
}

/** Makes a log without records. */
export function createRecordLog<T>(options: RecordLogOptions<T>): RecordLog<T> {
  const {keyOf, isSame} = options;
  const epoch = randomUUID();
  const records = new Map<string, T>();
  /** Ask whoever waits to look for news, and to stop waiting. */
  const waiters = new Set<() => void>();
  const closers = new Set<() => void>();
  let changes: Array<Change<T>> = [];
  let position = 0;
  let version = 0;
  let hasLapsed = false;
  /** Position and version before the oldest change that is kept. */
  let keptSince = {position: 0, version: Infinity};

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
    keptSince = {position, version};
  };
  /** Whether a change came after a position; undefined where that is not known. */
  const newerThan = (since: LogPosition | undefined) => {
    if (since?.place?.epoch === epoch) {
      const {place} = since;
      if (place.position < keptSince.position) return undefined;
      return (change: Change<T>) => change.position > place.position;
    }
    if (!since || since.version < keptSince.version) return undefined;
    return (change: Change<T>) => change.version > since.version;
  };
  const changesSince = (since: LogPosition | undefined): LogChanges<T> => {
    const state = {epoch, position, version, hasLapsed};
    const isNewer = newerThan(since);
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
  /** Whether there is something to tell; never an older version than is known. */
  const hasNews = (since: LogPosition | undefined) => {
    if (since && since.version > version) return false;
    const isNewer = newerThan(since);
    return !isNewer || changes.some(isNewer);
  };
  return {
    update(state) {
      const isFirst = keptSince.version === Infinity;
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
        keptSince = {position, version};
      }
      trim();
      [...waiters].forEach(wake => wake());
    },
    changesSince,
    async waitForChanges(since, waitMs) {
      if (!hasNews(since)) {
        await new Promise<void>(resolve => {
          const end = () => {
            clearTimeout(timer);
            waiters.delete(wake);
            closers.delete(end);
            resolve();
          };
          const wake = () => {
            if (hasNews(since)) end();
          };
          const timer = setTimeout(end, waitMs);
          waiters.add(wake);
          closers.add(end);
        });
      }
      return changesSince(since);
    },
    close: () => [...closers].forEach(end => end()),
  };
}
