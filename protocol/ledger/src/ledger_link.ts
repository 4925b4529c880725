import {createSocket, type RemoteInfo} from 'node:dgram';
import {
  createInputBoundary,
  type AddressOpener,
  type InputBoundary,
} from '@sardinestile/connections';
import type {Logger} from '@sardinestile/logger';
import type {Clock} from '@sardinestile/types';
import {
  decodeLedgerMessage,
  encodeLedgerMessage,
  type LedgerMessage,
  type SenderStatus,
} from './ledger_codec.js';
import type {LedgerObserver} from './ledger_observer.js';
import type {LedgerUpdate} from './ledger_update.js';
import {createOtherGroups} from './other_groups.js';
import {toAddressKey, type PeerAddress} from './peer_address.js';

/** Longest delay of an update while more updates are collected for one datagram. */
const MAX_BATCH_DELAY_MS = 10;

/**
 * Largest datagram payload; it fits the MTU of common networks without
 * fragmentation.
 */
const MAX_DATAGRAM_BYTES = 1_300;

/** Interval of heartbeats, which are datagrams without updates. */
const HEARTBEAT_INTERVAL_MS = 500;

/** Time without a datagram after which a peer is considered lost. */
const PEER_TIMEOUT_MS = 2_500;

/** A gateway from which a datagram arrived within the peer timeout. */
export interface LivePeer extends SenderStatus {
  instance: string;
  address: PeerAddress;
  /**
   * How far the peer's slewed wall clock is ahead of this gateway's, in
   * milliseconds.
   */
  clockOffsetMs: number;
  /** Time since the last datagram from the peer, in milliseconds. */
  sinceLastReceivedMs: number;
}

/** Options for createLedgerLink. */
export interface LedgerLinkOptions {
  instance: string;
  address: PeerAddress;
  clock: Clock;
  logger: Logger;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
  observer: LedgerObserver;
  /**
   * This gateway's wall clock in Unix milliseconds, slewed so that clock steps
   * do not move it.
   */
  slewedTimeMs: () => number;
  /** Current status of this gateway; sent in every datagram. */
  status: () => SenderStatus;
}

/** Exchanges updates with the other gateways over UDP; updates may be lost. */
export interface LedgerLink {
  /** Begins to send and receive; rejects if the address does not become available. */
  open(addresses: AddressOpener): Promise<void>;
  /**
   * Sends an update to every live peer, and to the gateways of other groups if it
   * is for all groups. An urgent one is not delayed for batching.
   */
  send(update: LedgerUpdate, isUrgent: boolean, isForAllGroups?: boolean): void;
  /** Sets the fleet. Until then the link sends nothing and ignores what it receives. */
  joinFleet(fleetId: string): void;
  /**
   * Replaces the addresses to which heartbeats are sent. Live peers that are not
   * registered yet are kept; those of other groups are dropped, and only what they
   * send to all groups is received.
   */
  setAddresses(
    addresses: readonly PeerAddress[],
    otherGroupAddresses: readonly PeerAddress[],
  ): void;
  /** Returns the peers that are within the peer timeout. */
  livePeers(): LivePeer[];
  close(): void;
}

interface Peer {
  address: PeerAddress;
  instance: string | undefined;
  startedAtMs: number;
  lastReceivedAtMs: number;
  clockOffsetMs: number;
  status: SenderStatus;
}

const INITIAL_STATUS: SenderStatus = {
  isStopping: false,
  hasSeenDutyHeld: false,
};

/** Creates a link, which neither sends nor receives until it is opened. */
export function createLedgerLink(options: LedgerLinkOptions): LedgerLink {
  const {instance, address, clock, slewedTimeMs, observer, logger} = options;
  const {boundary = createInputBoundary({logger})} = options;
  const startedAtMs = clock.wallMs();
  const socket = createSocket('udp4');
  const peers = new Map<string, Peer>();
  const otherGroups = createOtherGroups({
    onLost: observer.onPeerLost,
    unregisteredLifetimeMs: PEER_TIMEOUT_MS,
  });
  let pendingUpdates: LedgerUpdate[] = [];
  /** Those of the pending updates that are for all groups. */
  let pendingForOtherGroups: LedgerUpdate[] = [];
  let flushTimer: NodeJS.Timeout | undefined;
  let isFlushScheduled = false;
  let fleetId: string | undefined;
  let isOpen = false;

  const isLive = (peer: Peer) =>
    peer.instance !== undefined &&
    clock.monotonicMs() - peer.lastReceivedAtMs < PEER_TIMEOUT_MS;
  const getOrCreatePeer = (peerAddress: PeerAddress) => {
    const key = toAddressKey(peerAddress);
    let peer = peers.get(key);
    if (!peer) {
      peer = {
        address: peerAddress,
        instance: undefined,
        startedAtMs: 0,
        lastReceivedAtMs: -Infinity,
        clockOffsetMs: 0,
        status: INITIAL_STATUS,
      };
      peers.set(key, peer);
    }
    return peer;
  };
  // Addresses come from datagrams and from the store; `send` throws for an invalid one.
  const sendDatagram = boundary.guard(
    'datagram',
    (bytes: Buffer, to: PeerAddress) => socket.send(bytes, to.port, to.host),
  );
  const transmit = (
    updates: LedgerUpdate[],
    targets: ReadonlyArray<Pick<Peer, 'address'>>,
    isBetweenGroups = false,
  ) => {
    // Requests that end while the process stops are still reported.
    if (!isOpen || fleetId === undefined) return;
    const message: LedgerMessage = {
      fleetId,
      instance,
      startedAtMs,
      slewedWallMs: Math.round(slewedTimeMs()),
      status: options.status(),
      isBetweenGroups,
      updates,
    };
    const bytes = encodeLedgerMessage(message);
    if (bytes.length > MAX_DATAGRAM_BYTES && updates.length > 1) {
      const half = updates.length >> 1;
      transmit(updates.slice(0, half), targets, isBetweenGroups);
      transmit(updates.slice(half), targets, isBetweenGroups);
      return;
    }
    for (const {address: to} of targets) sendDatagram(bytes, to);
  };
  const flush = () => {
    clearTimeout(flushTimer);
    flushTimer = undefined;
    isFlushScheduled = false;
    const updates = pendingUpdates;
    pendingUpdates = [];
    const targets = [...peers.values()].filter(isLive);
    if (updates.length > 0 && targets.length > 0) transmit(updates, targets);
    const forOthers = pendingForOtherGroups;
    pendingForOtherGroups = [];
    if (forOthers.length === 0) return;
    // A gateway whose list differs may be a live peer, too; it got the updates already.
    const targetKeys = new Set(
      targets.map(({address: to}) => toAddressKey(to)),
    );
    const others = otherGroups
      .targets()
      .filter(({address: to}) => !targetKeys.has(toAddressKey(to)));
    transmit(forOthers, others, true);
  };
  const dropPeer = (key: string, peer: Peer) => {
    peers.delete(key);
    if (peer.instance !== undefined) observer.onPeerLost(peer.instance);
  };
  // Reports peers that timed out, then sends a heartbeat to every known address.
  const sendHeartbeats = () => {
    for (const peer of peers.values()) {
      if (peer.instance === undefined || isLive(peer)) continue;
      observer.onPeerLost(peer.instance);
      logger.info('peer_lost', {peer: peer.instance});
      peer.instance = undefined;
    }
    transmit([], [...peers.values()]);
  };
  const receive = (bytes: Buffer, from: RemoteInfo) => {
    const packet = decodeLedgerMessage(bytes);
    if (!packet || packet.fleetId !== fleetId) return;
    if (packet.instance === instance) return;
    const fromAddress = {host: from.address, port: from.port};
    // Such a message does not make its sender a peer, also if it is not known yet.
    if (packet.isBetweenGroups) {
      otherGroups.recordMessage(packet, fromAddress, clock.monotonicMs());
      for (const item of packet.updates) {
        observer.onUpdate(packet.instance, item, true);
      }
      return;
    }
    if (otherGroups.includes(toAddressKey(fromAddress))) return;
    const peer = getOrCreatePeer(fromAddress);
    if (peer.instance === undefined) {
      logger.info('peer_found', {peer: packet.instance});
      // The peer may not know yet that this gateway is live.
      transmit([], [peer]);
    } else if (peer.startedAtMs !== packet.startedAtMs) {
      observer.onPeerLost(peer.instance);
      const uptimeMs = packet.startedAtMs - peer.startedAtMs;
      logger.info('peer_restarted', {peer: packet.instance, uptimeMs});
    }
    peer.instance = packet.instance;
    peer.startedAtMs = packet.startedAtMs;
    peer.lastReceivedAtMs = clock.monotonicMs();
    peer.clockOffsetMs = packet.slewedWallMs - slewedTimeMs();
    peer.status = packet.status;
    for (const item of packet.updates) {
      observer.onUpdate(packet.instance, item, false);
    }
  };
  socket.on('message', boundary.guard('datagram', receive));
  const heartbeatTimer = setInterval(sendHeartbeats, HEARTBEAT_INTERVAL_MS);
  return {
    async open(addresses) {
      await addresses.bind('peerDatagrams', socket, address);
      isOpen = true;
      socket.on('error', error =>
        logger.warn('peer_link_failed', {reason: error.message}),
      );
    },
    send(update, isUrgent, isForAllGroups = false) {
      pendingUpdates.push(update);
      if (isForAllGroups) pendingForOtherGroups.push(update);
      if (isUrgent && !isFlushScheduled) {
        isFlushScheduled = true;
        setImmediate(flush);
        return;
      }
      flushTimer ??= setTimeout(flush, MAX_BATCH_DELAY_MS);
    },
    joinFleet(id) {
      fleetId = id;
    },
    setAddresses(addresses, otherGroupAddresses) {
      const peerAddresses = addresses.filter(
        ({host, port}) => host !== address.host || port !== address.port,
      );
      const addressKeys = new Set(peerAddresses.map(toAddressKey));
      otherGroups.setAddresses(
        otherGroupAddresses,
        peerAddresses,
        clock.monotonicMs(),
      );
      peerAddresses.forEach(getOrCreatePeer);
      for (const [key, peer] of peers) {
        if (addressKeys.has(key)) continue;
        if (otherGroups.includes(key)) dropPeer(key, peer);
        else if (!isLive(peer)) peers.delete(key);
      }
      sendHeartbeats();
      // Gateways of other groups may read this gateway's registration much later.
      transmit([], otherGroups.targets(), true);
    },
    livePeers: () =>
      [...peers.values()].flatMap(peer =>
        isLive(peer) && peer.instance !== undefined
          ? [
              {
                instance: peer.instance,
                address: peer.address,
                clockOffsetMs: peer.clockOffsetMs,
                sinceLastReceivedMs:
                  clock.monotonicMs() - peer.lastReceivedAtMs,
                ...peer.status,
              },
            ]
          : [],
      ),
    close() {
      isOpen = false;
      clearInterval(heartbeatTimer);
      clearTimeout(flushTimer);
      socket.close();
    },
  };
}
