import {
  decodeConfigUpdate,
  encodeConfigUpdate,
  type ConfigReplica,
} from '@sardinestile/replica';
import type {ConfigPull, ConfigPush} from '@sardinestile/session';

/** Messages that synchronise the configuration; both sides of a session send them. */
export type ConfigLinkBody =
  | {case: 'configPull'; value: {sinceVersion: number}}
  | {case: 'configPush'; value: ReturnType<typeof encodeConfigUpdate>};

/** Options for createConfigLink. */
export interface ConfigLinkOptions {
  replica: ConfigReplica;
  /** Sends a message to the peer. */
  send: (body: ConfigLinkBody) => void;
  /** Called when an update from the peer increased the replica's version. */
  onAdvance?: (version: number) => void;
}

/**
 * One side of a session that brings the replicas of both sides to the newer of
 * their versions.
 */
export interface ConfigLink {
  /**
   * Handles the version that the peer announced and requests an update if it is
   * newer. The first announcement after a request sends none, as the update may
   * be on its way.
   */
  noteVersion(peerVersion: number): void;
  /** Sends the peer the changes after the version that it has. */
  answerPull(pull: Pick<ConfigPull, 'sinceVersion'>): void;
  /** Applies an update from the peer. */
  applyPush(push: Omit<ConfigPush, '$typeName' | '$unknown'>): void;
}

/** Creates the configuration synchronisation of one session. */
export function createConfigLink(options: ConfigLinkOptions): ConfigLink {
  const {replica, send} = options;
  /**
   * Version that the peer announced when an update was requested; 0 once an
   * update arrived or an announcement was skipped.
   */
  let requestedVersion = 0;
  return {
    noteVersion(peerVersion) {
      const isBehind = peerVersion > replica.version;
      if (!isBehind || requestedVersion > replica.version) {
        requestedVersion = isBehind ? 0 : requestedVersion;
        return;
      }
      requestedVersion = peerVersion;
      const value = {sinceVersion: replica.version};
      send({case: 'configPull', value});
    },
    answerPull({sinceVersion}) {
      const value = encodeConfigUpdate(replica.updateSince(sinceVersion));
      send({case: 'configPush', value});
    },
    applyPush(push) {
      requestedVersion = 0;
      const hasAdvanced = replica.apply(decodeConfigUpdate(push));
      if (hasAdvanced) options.onAdvance?.(replica.version);
    },
  };
}
