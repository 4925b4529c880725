import {parseServiceText, type ServiceText} from '@sardinestile/service_text';
import type {ConfigChange, ConfigSnapshot, KeyRecord} from './config_change.js';
import {applyTextEdit} from './text_edit.js';

/**
 * Number of latest changes that remain when the list of changes is trimmed,
 * which happens at twice this length. A peer that lacks only retained changes
 * receives them instead of a snapshot.
 */
const RETAINED_CHANGES_AFTER_TRIM = 2_048;

/** Changes, and if needed a snapshot, that bring an older replica up to date. */
export interface ConfigUpdate {
  /** Version of the replica that created this update. */
  version: number;
  changes: ConfigChange[];
  /** Present if the retained changes do not go back far enough. */
  snapshot?: ConfigSnapshot;
}

/** In-memory copy of the configuration. Its version never decreases. */
export interface ConfigReplica {
  readonly version: number;
  /** The service text (YAML). */
  readonly text: string;
  /**
   * The last text that parsed without findings; undefined until there was one.
   */
  readonly serviceText: ServiceText | undefined;
  findKeyByHash(secretHash: string): KeyRecord | undefined;
  hasKey(keyId: string): boolean;
  listKeys(): KeyRecord[];
  /** Whether an upstream receives no new requests. */
  isDraining(upstream: string): boolean;
  /**
   * Applies a newer snapshot, then each change that directly follows the
   * current version; ignores the rest. Returns whether the version increased.
   */
  apply(update: ConfigUpdate): boolean;
  /** Creates the update for a replica at the given version. */
  createUpdateSince(version: number): ConfigUpdate;
  /** Creates a snapshot of the current version. */
  snapshot(): ConfigSnapshot;
  /** Adds a listener for version increases; returns a function that removes it. */
  onVersionIncrease(listener: (version: number) => void): () => void;
}

type ChangeKind = ConfigChange['kind'];
type ChangeHandlers = {
  [K in ChangeKind]: (change: Extract<ConfigChange, {kind: K}>) => void;
};

/** Creates an empty replica at version 0. */
export function createConfigReplica(): ConfigReplica {
  let version = 0;
  let text = '';
  let services: ServiceText | undefined;
  let retainedChanges: ConfigChange[] = [];
  const keysById = new Map<string, KeyRecord>();
  const keysByHash = new Map<string, KeyRecord>();
  const draining = new Set<string>();
  const listeners = new Set<(version: number) => void>();

  const addKey = (key: KeyRecord) => {
    keysById.set(key.keyId, key);
    keysByHash.set(key.secretHash, key);
  };
  const removeKey = (keyId: string) => {
    const key = keysById.get(keyId);
    if (!key) return;
    keysById.delete(keyId);
    keysByHash.delete(key.secretHash);
  };
  const parseText = () => {
    const parsed = parseServiceText(text);
    if (parsed.isOk()) services = parsed.value;
  };
  const changeHandlers: ChangeHandlers = {
    textEdited: change => {
      text = applyTextEdit(text, change);
    },
    keyGranted: change => addKey(change.key),
    keyWithdrawn: change => removeKey(change.keyId),
    drainSet: change => {
      if (change.isDraining) draining.add(change.upstream);
      else draining.delete(change.upstream);
    },
  };
  const applySnapshot = (snapshot: ConfigSnapshot) => {
    if (snapshot.version <= version) return;
    version = snapshot.version;
    text = snapshot.text;
    keysById.clear();
    keysByHash.clear();
    draining.clear();
    snapshot.keys.forEach(addKey);
    snapshot.draining.forEach(upstream => draining.add(upstream));
    retainedChanges = [];
  };
  const applyChange = (change: ConfigChange) => {
    if (change.version !== version + 1) return;
    (changeHandlers[change.kind] as (change: ConfigChange) => void)(change);
    version = change.version;
    retainedChanges.push(change);
    if (retainedChanges.length > 2 * RETAINED_CHANGES_AFTER_TRIM) {
      retainedChanges = retainedChanges.slice(-RETAINED_CHANGES_AFTER_TRIM);
    }
  };
  const snapshot = (): ConfigSnapshot => ({
    version,
    text,
    keys: [...keysById.values()],
    draining: [...draining],
  });

  return {
    get version() {
      return version;
    },
    get text() {
      return text;
    },
    get serviceText() {
      return services;
    },
    findKeyByHash: secretHash => keysByHash.get(secretHash),
    hasKey: keyId => keysById.has(keyId),
    listKeys: () => [...keysById.values()],
    isDraining: upstream => draining.has(upstream),
    apply(update) {
      const versionBefore = version;
      const textBefore = text;
      if (update.snapshot) applySnapshot(update.snapshot);
      update.changes.forEach(applyChange);
      if (text !== textBefore) parseText();
      if (version === versionBefore) return false;
      listeners.forEach(listener => listener(version));
      return true;
    },
    createUpdateSince(since) {
      const hasAllChanges = version - retainedChanges.length <= since;
      return hasAllChanges
        ? {
            version,
            changes: retainedChanges.filter(change => change.version > since),
          }
        : {version, changes: [], snapshot: snapshot()};
    },
    snapshot,
    onVersionIncrease(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
