import {SardinestileError} from '@sardinestile/errors';
import type {LedgerLink} from '@sardinestile/ledger';
import type {
  ConfirmedConfig,
  PeerClient,
  RelayedUsage,
} from '@sardinestile/peer';

/** Calls to any live peer. */
export interface PeerCalls {
  fetchConfig(haveVersion: number): Promise<ConfirmedConfig>;
  relayUsage(usage: RelayedUsage): Promise<void>;
}

/** Creates the calls; each one goes to a random live peer and rejects if there is none. */
export function createPeerCalls(
  client: PeerClient,
  link: () => LedgerLink,
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
    relayUsage: async usage => client.relayUsage(choosePeer(), usage),
  };
}
