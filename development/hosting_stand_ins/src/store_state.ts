/** A row as the store shows it. */
export interface StoredRow {
  table: string;
  part: string;
  key: string;
  /** Base64. */
  value: string;
  ver: number;
  tombstone?: true;
}

/** Which row an entry of a transaction means. */
export interface RowName {
  table: string;
  part?: string;
  key: string;
}

/** A transaction as it comes over the wire. */
export interface Transaction {
  expected_rev?: Array<RowName & {ver: number}>;
  puts?: Array<RowName & {value: string}>;
  remove?: RowName[];
}

/** Rows with one version counter, and the history of their changes. */
export interface StoreState {
  readonly version: number;
  rows(table: string, part: string): StoredRow[];
  /** Undefined if a condition does not hold. */
  transact(transaction: Transaction): number | undefined;
  /** Newest change of each row after a version; undefined if no longer known. */
  changes(table: string, after: number): StoredRow[] | undefined;
  forgetHistory(): void;
  /** Runs the callback at the next transaction. */
  onceChanged(callback: () => void): void;
  /** Writes a row of another writer, as JSON. */
  putJson(table: string, key: string, value: unknown): void;
  putRaw(table: string, key: string, bytes: Buffer): void;
  remove(table: string, key: string): void;
}

/** Makes an empty store. */
export function createStoreState(): StoreState {
  const rows = new Map<string, StoredRow>();
  let history: StoredRow[] = [];
  let historyStart = 0;
  let version = 0;
  let waiters: Array<() => void> = [];

  const nameOf = ({table, part = '', key}: RowName) =>
    `${table}\0${part}\0${key}`;
  const transact = ({
    expected_rev = [],
    puts = [],
    remove = [],
  }: Transaction) => {
    const holds = expected_rev.every(
      condition => (rows.get(nameOf(condition))?.ver ?? 0) === condition.ver,
    );
    if (!holds) return undefined;
    version++;
    for (const {table, part = '', key, value} of puts) {
      const row = {table, part, key, value, ver: version};
      rows.set(nameOf(row), row);
      history.push(row);
    }
    for (const name of remove) {
      const {table, part = '', key} = name;
      rows.delete(nameOf(name));
      history.push({
        table,
        part,
        key,
        value: '',
        ver: version,
        tombstone: true,
      });
    }
    const woken = waiters;
    waiters = [];
    woken.forEach(wake => wake());
    return version;
  };
  const putRaw = (table: string, key: string, bytes: Buffer) => {
    transact({puts: [{table, key, value: bytes.toString('base64')}]});
  };
  return {
    get version() {
      return version;
    },
    rows: (table, part) =>
      [...rows.values()]
        .filter(row => row.table === table && row.part === part)
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    transact,
    changes(table, after) {
      if (after < historyStart) return undefined;
      const newest = new Map<string, StoredRow>();
      for (const row of history) {
        if (row.table === table && row.ver > after) newest.set(row.key, row);
      }
      return [...newest.values()].sort((a, b) => a.ver - b.ver);
    },
    forgetHistory() {
      history = [];
      historyStart = version + 1;
      version++;
    },
    onceChanged: callback => void waiters.push(callback),
    putJson: (table, key, value) =>
      putRaw(table, key, Buffer.from(JSON.stringify(value))),
    putRaw,
    remove: (table, key) => void transact({remove: [{table, key}]}),
  };
}
