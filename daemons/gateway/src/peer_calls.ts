import {SardinestileError} from '@sardinestile/errors';
import type {LedgerLink} from '@sardinestile/ledger';
import type {ConfigProof, PeerClient, RelayedUsage} from '@sardinestile/peer';

/** Questions to whichever peer is alive. */
export interface PeerCalls {
  askConfig(haveVersion: number): Promise<ConfigProof>;
  relayUsage(usage: RelayedUsage): Promise<void>;
}

/** Makes calls to one live peer at random; another one gets the next call. */
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
        message: 'no other gateway was heard lately',
      });
    }
    return `${peer.address.host}:${peer.address.port}`;
  };
  return {
    askConfig: async haveVersion => client.askConfig(choosePeer(), haveVersion),
    relayUsage: async usage => client.relayUsage(choosePeer(), usage),
  };
}
