import type {LedgerMessage} from './ledger_codec.js';
import {toAddressKey, type PeerAddress} from './peer_address.js';

/** Gateways of other groups, which send updates about shared upstreams and no heartbeats. */
export interface OtherGroups {
  /**
   * Returns the gateways to send to: of the registered gateways of other groups,
   * and of those that sent a message and are not registered yet.
   */
  targets(): Array<{address: PeerAddress}>;
  /** Whether a registered gateway of another group has this address, in the form `host:port`. */
  includes(addressKey: string): boolean;
  /**
   * Replaces the addresses of the gateways of other groups and of the own one.
   * Gateways that are in neither are lost.
   */
  setAddresses(
    addresses: readonly PeerAddress[],
    ownGroup: readonly PeerAddress[],
    nowMs: number,
  ): void;
  /** Records a message; a gateway that has restarted is lost first. */
  recordMessage(
    message: Pick<LedgerMessage, 'instance' | 'startedAtMs'>,
    address: PeerAddress,
    nowMs: number,
  ): void;
}

/** Options for `createOtherGroups`. */
export interface OtherGroupsOptions {
  /** Called when a gateway restarted or left the registry. */
  onLost: (instance: string) => void;
  /** Time after a message for which a gateway that is not registered yet is kept. */
  unregisteredLifetimeMs: number;
}

interface Sender {
  address: PeerAddress;
  instance: string;
  startedAtMs: number;
  lastReceivedAtMs: number;
}

/** Creates an empty set. */
export function createOtherGroups(options: OtherGroupsOptions): OtherGroups {
  let registered: readonly PeerAddress[] = [];
  let registeredKeys: ReadonlySet<string> = new Set();
  /** Latest sender at each address. */
  const senders = new Map<string, Sender>();
  return {
    targets: () => [
      ...registered.map(address => ({address})),
      ...[...senders]
        .filter(([key]) => !registeredKeys.has(key))
        .map(([, {address}]) => ({address})),
    ],
    includes: addressKey => registeredKeys.has(addressKey),
    setAddresses(next, ownGroup, nowMs) {
      registered = next;
      registeredKeys = new Set(next.map(toAddressKey));
      const ownKeys = new Set(ownGroup.map(toAddressKey));
      for (const [key, {instance, lastReceivedAtMs}] of senders) {
        if (registeredKeys.has(key)) continue;
        if (ownKeys.has(key)) {
          // It is a member of this group now, and its requests go on.
          senders.delete(key);
          continue;
        }
        const idleMs = nowMs - lastReceivedAtMs;
        if (idleMs < options.unregisteredLifetimeMs) continue;
        senders.delete(key);
        options.onLost(instance);
      }
    },
    recordMessage({instance, startedAtMs}, address, nowMs) {
      const key = toAddressKey(address);
      const known = senders.get(key);
      if (known && known.startedAtMs !== startedAtMs) {
        options.onLost(known.instance);
      }
      senders.set(key, {
        address,
        instance,
        startedAtMs,
        lastReceivedAtMs: nowMs,
      });
    },
  };
}
