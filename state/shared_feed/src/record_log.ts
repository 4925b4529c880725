import {randomUUID} from 'node:crypto';
import type {LogChanges, LogPosition} from './record_log_types.js';

/** Changes that are kept; who is further behind reads everything. */
const MAX_CHANGES = 2_000;

/** What a log holds. */
export interface RecordLogOptions<T> {
  keyOf: (record: T) => string;
  isSame: (one: T, other: T) => boolean;
}

/** The records that this process believes in, and how they changed. */
export interface RecordLog<T> {
  /** Takes the records of now; what is the same as before is no change. */
  update(records: readonly T[]): void;
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
  key: string;
  /** Undefined if it was removed. */
  record: T | undefined;
}

/** Makes a log without records. */
export function createRecordLog<T>(options: RecordLogOptions<T>): RecordLog<T> {
  const {keyOf, isSame} = options;
  const epoch = randomUUID();
  const records = new Map<string, T>();
  const waiters = new Set<() => void>();
  let changes: Array<Change<T>> = [];
  let position = 0;
  /** Position before the oldest change that is kept. */
  let keptSince = 0;

  const append = (key: string, record: T | undefined) => {
    position++;
    changes.push({position, key, record});
    if (record) records.set(key, record);
    else records.delete(key);
  };
  const trim = () => {
    if (changes.length <= MAX_CHANGES) return;
    changes = changes.slice(-MAX_CHANGES / 2);
    keptSince = changes[0].position - 1;
  };
  const isKnown = (since: LogPosition | undefined): since is LogPosition =>
    since?.epoch === epoch && since.position >= keptSince;
  const changesSince = (since: LogPosition | undefined): LogChanges<T> => {
    if (!isKnown(since)) {
      const changed = [...records.values()];
      return {epoch, position, isWhole: true, changed, removedKeys: []};
    }
    const newest = new Map<string, T | undefined>();
    for (const change of changes) {
      if (change.position > since.position) {
        newest.set(change.key, change.record);
      }
    }
    return {
      epoch,
      position,
      isWhole: false,
      changed: [...newest.values()].filter(record => record !== undefined),
      removedKeys: [...newest.keys()].filter(
        key => newest.get(key) === undefined,
      ),
    };
  };
  return {
    update(current) {
      const before = position;
      const present = new Set(current.map(keyOf));
      for (const key of [...records.keys()]) {
        if (!present.has(key)) append(key, undefined);
      }
      for (const record of current) {
        const key = keyOf(record);
        const known = records.get(key);
        if (known === undefined || !isSame(known, record)) append(key, record);
      }
      trim();
      if (position > before) [...waiters].forEach(wake => wake());
    },
    changesSince,
    async waitForChanges(since, waitMs) {
      const isUpToDate = isKnown(since) && since.position === position;
      if (isUpToDate) {
        await new Promise<void>(resolve => {
          const wake = () => {
            clearTimeout(timer);
            waiters.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, waitMs);
          waiters.add(wake);
        });
      }
      return changesSince(since);
    },
    close: () => [...waiters].forEach(wake => wake()),
  };
}
