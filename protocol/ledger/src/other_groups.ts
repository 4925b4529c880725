import type {PeerAddress} from './ledger_link.js';
import type {LedgerMessage} from './ledger_codec.js';

/** Gateways of other groups, which send updates about shared upstreams and no heartbeats. */
export interface OtherGroups {
  /** Addresses of the gateways of other groups. */
  readonly addresses: readonly PeerAddress[];
  /** Whether a gateway of another group has this address, in the form `host:port`. */
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
    addressKey: string,
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
  instance: string;
  startedAtMs: number;
  lastReceivedAtMs: number;
}

/** Creates an empty set. */
export function createOtherGroups(options: OtherGroupsOptions): OtherGroups {
  let addresses: readonly PeerAddress[] = [];
  let addressKeys: ReadonlySet<string> = new Set();
  /** Latest sender at each address. */
  const senders = new Map<string, Sender>();
  return {
    get addresses() {
      return addresses;
    },
    includes: addressKey => addressKeys.has(addressKey),
    setAddresses(next, ownGroup, nowMs) {
      addresses = next;
      addressKeys = new Set(next.map(toAddressKey));
      const ownKeys = new Set(ownGroup.map(toAddressKey));
      for (const [key, {instance, lastReceivedAtMs}] of senders) {
        if (addressKeys.has(key)) continue;
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
    recordMessage({instance, startedAtMs}, addressKey, nowMs) {
      const known = senders.get(addressKey);
      if (known && known.startedAtMs !== startedAtMs) {
        options.onLost(known.instance);
      }
      senders.set(addressKey, {
        instance,
        startedAtMs,
        lastReceivedAtMs: nowMs,
      });
    },
  };
}

/** Returns an address in the form `host:port`. */
export function toAddressKey({host, port}: PeerAddress): string {
  return `${host}:${port}`;
}
