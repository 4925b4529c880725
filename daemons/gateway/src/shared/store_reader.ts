import {sortByHash} from '@sardinestile/fleet';
import type {LivePeer} from '@sardinestile/ledger';
import {hashText} from '@sardinestile/placement';

/**
 * Gateways of a group that read shared records from the store; with two, the
 * loss of one leaves a replica to follow at once.
 */
const STORE_READERS_PER_GROUP = 2;

/**
 * Returns the gateway of the group whose replica of the store's records this
 * gateway follows; undefined if it reads the store itself. Gateways that know
 * the same peers choose the same readers.
 */
export function chooseStoreReader(
  instance: string,
  groupPeers: readonly LivePeer[],
): LivePeer | undefined {
  const peers = groupPeers.filter(({isStopping}) => !isStopping);
  const names = [...peers.map(peer => peer.instance), instance];
  const readers = sortByHash(names, name => name).slice(
    0,
    STORE_READERS_PER_GROUP,
  );
  if (readers.includes(instance)) return undefined;
  const name = readers[hashText(instance) % readers.length];
  return peers.find(peer => peer.instance === name);
}
