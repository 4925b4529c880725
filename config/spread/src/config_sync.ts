import {
  decodeConfigUpdate,
  encodeConfigUpdate,
  type ConfigReplica,
} from '@sardinestile/replica';
import type {ConfigPull, ConfigPush} from '@sardinestile/session';

/** Messages that synchronise the configuration; both sides of a session send them. */
export type ConfigSyncBody =
  | {case: 'configPull'; value: {sinceVersion: number}}
  | {case: 'configPush'; value: ReturnType<typeof encodeConfigUpdate>};

/** Options for createConfigSync. */
export interface ConfigSyncOptions {
  replica: ConfigReplica;
  /** Sends a message to the peer. */
  send: (body: ConfigSyncBody) => void;
  /** Called when an update from the peer increased the replica's version. */
  onVersionIncrease?: (version: number) => void;
}

/**
 * One side of a session that brings the replicas of both sides to the newer of
 * their versions.
 */
export interface ConfigSync {
  /**
   * Handles the version that the peer announced and requests an update if it is
   * newer. The first announcement after a request sends none, as the update may
   * be on its way.
   */
  handlePeerVersion(peerVersion: number): void;
  /** Sends the peer the changes after the version that it has. */
  handlePull(pull: Pick<ConfigPull, 'sinceVersion'>): void;
  /** Applies an update from the peer. */
  handlePush(push: Omit<ConfigPush, '$typeName' | '$unknown'>): void;
}

/** Creates the configuration synchronisation of one session. */
export function createConfigSync(options: ConfigSyncOptions): ConfigSync {
  const {replica, send} = options;
  /**
   * Version that the peer announced when an update was requested; 0 once an
   * update arrived or an announcement was skipped.
   */
  let requestedVersion = 0;
  return {
    handlePeerVersion(peerVersion) {
      const isBehind = peerVersion > replica.version;
      if (!isBehind || requestedVersion > replica.version) {
        requestedVersion = isBehind ? 0 : requestedVersion;
        return;
      }
      requestedVersion = peerVersion;
      const value = {sinceVersion: replica.version};
      send({case: 'configPull', value});
    },
    handlePull({sinceVersion}) {
      const value = encodeConfigUpdate(replica.createUpdateSince(sinceVersion));
      send({case: 'configPush', value});
    },
    handlePush(push) {
      requestedVersion = 0;
      const hasAdvanced = replica.apply(decodeConfigUpdate(push));
      if (hasAdvanced) options.onVersionIncrease?.(replica.version);
    },
  };
}
