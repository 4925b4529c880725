import {SardinestileError} from '@sardinestile/errors';
import type {LedgerLink} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {
  ConfirmedConfig,
  PeerClient,
  RelayedUsage,
} from '@sardinestile/peer';

/** Calls to live peers. */
export interface PeerCalls {
  fetchConfig(haveVersion: number): Promise<ConfirmedConfig>;
  /** Fetches the configuration of all live peers, without those that fail. */
  fetchAllConfigs(haveVersion: number): Promise<ConfirmedConfig[]>;
  relayUsage(usage: RelayedUsage): Promise<void>;
}

/**
 * Creates the calls. Those to one peer go to a random live one and reject if
 * there is none.
 */
export function createPeerCalls(
  client: PeerClient,
  link: () => LedgerLink,
  logger: Logger,
): PeerCalls {
  const choosePeer = () => {
    const peers = link().livePeers();
    const peer = peers[Math.floor(Math.random() * peers.length)];
    if (!peer) {
      throw new SardinestileError({
        code: 'PEER_UNAVAILABLE',
        message: 'no heartbeat of another gateway arrived recently',
      });
    }
    return `${peer.address.host}:${peer.address.port}`;
  };
  return {
    fetchConfig: async haveVersion =>
      client.fetchConfig(choosePeer(), haveVersion),
    async fetchAllConfigs(haveVersion) {
      const results = await Promise.allSettled(
        link()
          .livePeers()
          .map(({address: {host, port}}) =>
            client.fetchConfig(`${host}:${port}`, haveVersion),
          ),
      );
      return results.flatMap(result => {
        if (result.status === 'fulfilled') return [result.value];
        logger.info('peer_failed', {
          operation: 'ask for the configuration',
          reason: String((result.reason as Error).message),
        });
        return [];
      });
    },
    relayUsage: async usage => client.relayUsage(choosePeer(), usage),
  };
}
