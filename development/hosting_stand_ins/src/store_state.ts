/** A row as the store returns it. */
export interface StoredRow {
  table: string;
  part: string;
  key: string;
  /** Value in base64. */
  value: string;
  ver: number;
  tombstone?: true;
}

/** Identifies a row; `part` is empty if absent. */
export interface RowId {
  table: string;
  part?: string;
  key: string;
}

/** Body of a transaction request. */
export interface Transaction {
  expected_rev?: Array<RowId & {ver: number}>;
  puts?: Array<RowId & {value: string}>;
  remove?: RowId[];
}

/** Content of a store at one time. */
export interface StoreCopy {
  rows: ReadonlyMap<string, StoredRow>;
  history: readonly StoredRow[];
  historyStart: number;
  version: number;
}

/** Rows that share one version counter, with the history of their changes. */
export interface StoreState {
  readonly version: number;
  /** Rises with each restore. */
  readonly era: number;
  /** Returns a copy for `restore`. */
  copy(): StoreCopy;
  /**
   * Goes back to a copy: later writes are lost, and their versions are given
   * out again.
   */
  restore(copy: StoreCopy): void;
  rows(table: string, part: string): StoredRow[];
  /**
   * Applies a transaction and returns its version; undefined if a row does not
   * have the expected version.
   */
  transact(transaction: Transaction): number | undefined;
  /**
   * Returns the newest change of each row after a version; undefined if the
   * history no longer reaches back to that version.
   */
  changes(table: string, after: number): StoredRow[] | undefined;
  /** Discards the history, so that readers have to read all rows again. */
  discardHistory(): void;
  /** Calls the callback once, after the next transaction. */
  onNextTransaction(callback: () => void): void;
  /** Writes a JSON value without a condition, as another writer would. */
  putJson(table: string, key: string, value: unknown): void;
  putBytes(table: string, key: string, bytes: Buffer): void;
  remove(table: string, key: string): void;
}

/** Creates an empty store. */
export function createStoreState(): StoreState {
  let rows = new Map<string, StoredRow>();
  let era = 1;
  let history: StoredRow[] = [];
  let historyStart = 0;
  let version = 0;
  let changeCallbacks: Array<() => void> = [];

  const mapKeyOf = ({table, part = '', key}: RowId) =>
    `${table}\0${part}\0${key}`;
  const transact = ({
    expected_rev = [],
    puts = [],
    remove = [],
  }: Transaction) => {
    const areConditionsMet = expected_rev.every(
      condition => (rows.get(mapKeyOf(condition))?.ver ?? 0) === condition.ver,
    );
    if (!areConditionsMet) return undefined;
    version++;
    for (const {table, part = '', key, value} of puts) {
      const row = {table, part, key, value, ver: version};
      rows.set(mapKeyOf(row), row);
      history.push(row);
    }
    for (const rowId of remove) {
      const {table, part = '', key} = rowId;
      rows.delete(mapKeyOf(rowId));
      history.push({
        table,
        part,
        key,
        value: '',
        ver: version,
        tombstone: true,
      });
    }
    const callbacks = changeCallbacks;
    changeCallbacks = [];
    callbacks.forEach(notify => notify());
    return version;
  };
  const putBytes = (table: string, key: string, bytes: Buffer) => {
    transact({puts: [{table, key, value: bytes.toString('base64')}]});
  };
  return {
    get version() {
      return version;
    },
    get era() {
      return era;
    },
    copy: () => ({
      rows: new Map(rows),
      history: [...history],
      historyStart,
      version,
    }),
    restore(copy) {
      rows = new Map(copy.rows);
      history = [...copy.history];
      ({historyStart, version} = copy);
      era++;
      const callbacks = changeCallbacks;
      changeCallbacks = [];
      callbacks.forEach(notify => notify());
    },
    rows: (table, part) =>
      [...rows.values()]
        .filter(row => row.table === table && row.part === part)
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    transact,
    changes(table, after) {
      if (after < historyStart || after > version) return undefined;
      const newest = new Map<string, StoredRow>();
      for (const row of history) {
        if (row.table === table && row.ver > after) newest.set(row.key, row);
      }
      return [...newest.values()].sort((a, b) => a.ver - b.ver);
    },
    discardHistory() {
      history = [];
      historyStart = version + 1;
      version++;
    },
    onNextTransaction: callback => void changeCallbacks.push(callback),
    putJson: (table, key, value) =>
      putBytes(table, key, Buffer.from(JSON.stringify(value))),
    putBytes,
    remove: (table, key) => void transact({remove: [{table, key}]}),
  };
}
