import {configChangeSchema, configSnapshotSchema} from './config_change.js';
import type {ConfigUpdate} from './config_replica.js';

/** A configuration update as sent over the session protocol. */
export interface EncodedConfigUpdate {
  version: number;
  /** Each change as JSON in UTF-8. */
  changes: Uint8Array[];
  /** The snapshot as JSON in UTF-8; empty if there is none. */
  snapshot: Uint8Array;
}

/** Encodes an update for the session protocol. */
export function encodeConfigUpdate(update: ConfigUpdate): EncodedConfigUpdate {
  return {
    version: update.version,
    changes: update.changes.map(encodeJson),
    snapshot: update.snapshot ? encodeJson(update.snapshot) : new Uint8Array(0),
  };
}

/** Decodes an update; throws if a change or the snapshot does not match its schema. */
export function decodeConfigUpdate(encoded: EncodedConfigUpdate): ConfigUpdate {
  return {
    version: encoded.version,
    changes: encoded.changes.map(bytes =>
      configChangeSchema.parse(decodeJson(bytes)),
    ),
    snapshot:
      encoded.snapshot.length > 0
        ? configSnapshotSchema.parse(decodeJson(encoded.snapshot))
        : undefined,
  };
}

function encodeJson(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

function decodeJson(bytes: Uint8Array): unknown {
  return JSON.parse(Buffer.from(bytes).toString());
}
