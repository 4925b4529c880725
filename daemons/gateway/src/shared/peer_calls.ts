import {SardinestileError} from '@sardinestile/errors';
import type {LedgerLink} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {
  ConfirmedConfig,
  PeerClient,
  RelayedUsage,
} from '@sardinestile/peer';
import {shuffle} from './shuffle.js';

/**
 * Peers that are asked to store usage, one after the other. While the store rejects a
 * third of the gateways, one in 240 tries finds none that it serves.
 */
const MAX_RELAY_PEERS = 5;

/** Calls to live peers. */
export interface PeerCalls {
  fetchConfig(haveVersion: number): Promise<ConfirmedConfig>;
  /** Fetches the configuration of all live peers, without those that fail. */
  fetchAllConfigs(haveVersion: number): Promise<ConfirmedConfig[]>;
  /** Asks peers until one has stored the usage; rejects with the last reason if none could. */
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
  /** Returns the addresses of up to `count` peers in random order; throws if there is none. */
  const choosePeers = (count: number) => {
    const peers = shuffle(link().livePeers()).slice(0, count);
    if (peers.length === 0) {
      throw new SardinestileError({
        code: 'PEER_UNAVAILABLE',
        message: 'no heartbeat of another gateway arrived recently',
      });
    }
    return peers.map(({address: {host, port}}) => `${host}:${port}`);
  };
  const choosePeer = () => choosePeers(1)[0];
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
    async relayUsage(usage) {
      const addresses = choosePeers(MAX_RELAY_PEERS);
      const last = addresses.pop()!;
      for (const address of addresses) {
        try {
          return await client.relayUsage(address, usage);
        } catch (error) {
          const operation = 'relay usage';
          const reason = (error as Error).message;
          logger.info('peer_failed', {operation, reason});
        }
      }
      return client.relayUsage(last, usage);
    },
  };
}
