import {randomUUID} from 'node:crypto';
import {SardinestileError} from '@sardinestile/errors';
import type {ObjectStore, Row, TableService} from '@sardinestile/ports';
import {
  configChangeSchema,
  configSnapshotSchema,
  type ConfigChange,
  type ConfigReplica,
} from '@sardinestile/replica';
import {z} from 'zod';
import {versionConflict} from './version_conflict.js';

const HEAD_KEY = 'config/head';
const CHANGE_PREFIX = 'config/change/';
/** Exclusive end of the keys with CHANGE_PREFIX: "0" follows "/" in ASCII. */
const CHANGE_RANGE_END = 'config/change0';
/** Versions in keys are zero-padded, so that keys sort in version order. */
const VERSION_DIGITS = 12;
/** Number of changes since the last snapshot after which a new one is stored. */
const CHANGES_PER_SNAPSHOT = 256;
/** Maximum number of changes that one scan returns. */
const SCAN_LIMIT = 500;

const headSchema = z.object({
  version: z.number().int(),
  snapshotVersion: z.number().int(),
});
/** Content of the row at HEAD_KEY: the current version and that of the last snapshot. */
type Head = z.infer<typeof headSchema>;

/** A change without the fields that the store adds. */
export type NewConfigChange = ConfigChange extends infer Change
  ? Change extends ConfigChange
    ? Omit<Change, 'version' | 'writerToken' | 'acceptedAtMs'>
    : never
  : never;

/** Options for createConfigStore. */
export interface ConfigStoreOptions {
  table: TableService;
  objects: ObjectStore;
  replica: ConfigReplica;
  /** Returns Unix milliseconds. */
  nowMs: () => number;
}

/** Access to the configuration in the platform's table service and object store. */
export interface ConfigStore {
  /** Loads newer changes from the store into the replica. */
  refresh(): Promise<void>;
  /**
   * Appends a change if the stored version is still `expectedVersion`; returns
   * the new version. Throws `VERSION_CONFLICT` with the stored version if it
   * differs, or `STORE_UNAVAILABLE` if it cannot be determined whether the
   * change was stored.
   */
  append(body: NewConfigChange, expectedVersion: number): Promise<number>;
  /** Returns stored changes after a version, oldest first; at most `SCAN_LIMIT`. */
  history(sinceVersion: number): Promise<ConfigChange[]>;
}

/** Creates the store of one process. */
export function createConfigStore(options: ConfigStoreOptions): ConfigStore {
  const {table, objects, replica, nowMs} = options;

  const readHead = async () => {
    const row = await table.get(HEAD_KEY);
    const head: Head = row
      ? headSchema.parse(JSON.parse(row.value))
      : {version: 0, snapshotVersion: 0};
    return {head, rowVersion: row?.version ?? 0};
  };
  const refresh = async () => {
    const {head} = await readHead();
    if (head.version <= replica.version) return;
    if (head.snapshotVersion > replica.version) {
      await loadSnapshot(head.snapshotVersion);
    }
    while (replica.version < head.version) {
      const changes = await scanChanges(table, replica.version);
      if (!replica.apply({version: head.version, changes})) return;
    }
  };
  const loadSnapshot = async (version: number) => {
    const value = await objects.get(snapshotKey(version));
    if (!value) return;
    const snapshot = configSnapshotSchema.parse(JSON.parse(value));
    replica.apply({version, changes: [], snapshot});
  };
  /**
   * Stores a snapshot of the replica if one is due and the replica is at the
   * stored version. Returns the version of the newest snapshot.
   */
  const saveSnapshot = async (head: Head) => {
    const isDue =
      replica.version - head.snapshotVersion >= CHANGES_PER_SNAPSHOT;
    if (!isDue || replica.version !== head.version) return head.snapshotVersion;
    const key = snapshotKey(replica.version);
    await objects.put(key, JSON.stringify(replica.snapshot()));
    return replica.version;
  };
  const append = async (body: NewConfigChange, expectedVersion: number) => {
    await refresh();
    const {head, rowVersion} = await readHead();
    if (head.version !== expectedVersion) throw versionConflict(head.version);
    const change = {
      ...body,
      version: head.version + 1,
      writerToken: randomUUID(),
      acceptedAtMs: nowMs(),
    } as ConfigChange;
    const nextHead: Head = {
      version: change.version,
      snapshotVersion: await saveSnapshot(head),
    };
    const isCommitted = await commitChange(change, nextHead, rowVersion);
    if (!isCommitted) throw versionConflict((await readHead()).head.version);
    replica.apply({version: change.version, changes: [change]});
    return change.version;
  };
  const commitChange = async (
    change: ConfigChange,
    nextHead: Head,
    rowVersion: number,
  ): Promise<boolean> => {
    try {
      const outcome = await table.transact([
        {
          key: HEAD_KEY,
          value: JSON.stringify(nextHead),
          expectedVersion: rowVersion,
        },
        {
          key: changeKey(change.version),
          value: JSON.stringify(change),
          expectedVersion: 0,
        },
      ]);
      return outcome.committed;
    } catch {
      return isChangeStored(table, change);
    }
  };
  return {
    refresh,
    append,
    history: sinceVersion => scanChanges(table, sinceVersion),
  };
}

/**
 * Determines whether a change was stored after its transaction failed, for
 * example because the response was lost. Reads the row back and compares its
 * writer token, as another writer may have stored the same version.
 */
async function isChangeStored(
  table: TableService,
  change: ConfigChange,
): Promise<boolean> {
  const row = await table.get(changeKey(change.version));
  if (!row) {
    throw new SardinestileError({
      code: 'STORE_UNAVAILABLE',
      message: `the outcome of version ${change.version} is not known yet`,
      hint: 'Read the configuration before trying again.',
    });
  }
  return parseChange(row).writerToken === change.writerToken;
}

async function scanChanges(
  table: TableService,
  sinceVersion: number,
): Promise<ConfigChange[]> {
  const fromKey = changeKey(sinceVersion + 1);
  const rows = await table.scan(fromKey, CHANGE_RANGE_END, SCAN_LIMIT);
  return rows.map(parseChange);
}

function parseChange(row: Row): ConfigChange {
  return configChangeSchema.parse(JSON.parse(row.value));
}

function changeKey(version: number): string {
  return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

function snapshotKey(version: number): string {
  return `config/snapshot/${version}`;
}
