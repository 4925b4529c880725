import {createSocket} from 'node:dgram';
import type {Logger} from '@sardinestile/logger';
import type {Clock} from '@sardinestile/types';
import {
  decodeLedgerMessage,
  encodeLedgerMessage,
  type LedgerMessage,
  type LedgerNews,
  type SenderStatus,
} from './ledger_codec.js';

/** Longest time that news waits for other news, in milliseconds. */
const BATCH_MS = 10;

/** Largest payload of a datagram that crosses usual links whole, in bytes. */
const MAX_DATAGRAM_BYTES = 1_300;

/** Interval of datagrams without news, in milliseconds. */
const HELLO_INTERVAL_MS = 500;

/** Silence after which a peer counts as gone, in milliseconds. */
const SILENCE_MS = 2_500;

/** A host and a port. */
export interface PeerAddress {
  host: string;
  port: number;
}

/** A gateway that was heard lately. */
export interface LivePeer extends SenderStatus {
  instance: string;
  address: PeerAddress;
  /** How far its smooth time of day is ahead of ours. */
  wallAheadMs: number;
  /** Time since it was heard. */
  silentMs: number;
}

/** What the link tells its owner. */
export interface LedgerObserver {
  onNews(instance: string, news: LedgerNews): void;
  /** A peer went silent or started anew. */
  onPeerGone(instance: string): void;
}

/** What a link is made of. */
export interface LedgerLinkOptions {
  instance: string;
  address: PeerAddress;
  clock: Clock;
  logger: Logger;
  observer: LedgerObserver;
  /** This gateway's time of day, which no step moves. */
  smoothTimeMs: () => number;
  /** What this gateway tells of itself now. */
  status: () => SenderStatus;
}

/** Exchanges news with the other gateways; news may be lost. */
export interface LedgerLink {
  /** Sends news to every peer; urgent news go out at once. */
  send(news: LedgerNews, isUrgent: boolean): void;
  /** Names the fleet; before that nothing is sent or taken. */
  joinFleet(fleetId: string): void;
  /** Replaces the addresses that are tried. */
  setAddresses(addresses: readonly PeerAddress[]): void;
  livePeers(): LivePeer[];
  close(): void;
}

interface Peer {
  address: PeerAddress;
  instance: string | undefined;
  startedAtMs: number;
  lastHeardMs: number;
  wallAheadMs: number;
  status: SenderStatus;
}

const UNKNOWN_STATUS: SenderStatus = {isStopping: false, seesDutyHeld: false};

/** Opens a link; rejects if the address is taken. */
export async function openLedgerLink(
  options: LedgerLinkOptions,
): Promise<LedgerLink> {
  const {instance, address, clock, smoothTimeMs, observer, logger} = options;
  const startedAtMs = clock.wallMs();
  const socket = createSocket('udp4');
  const peers = new Map<string, Peer>();
  let batch: LedgerNews[] = [];
  let flushTimer: NodeJS.Timeout | undefined;
  let isFlushing = false;
  let fleetId: string | undefined;

  const isLive = (peer: Peer) =>
    peer.instance !== undefined &&
    clock.monotonicMs() - peer.lastHeardMs < SILENCE_MS;
  const peerAt = (peerAddress: PeerAddress) => {
    const key = `${peerAddress.host}:${peerAddress.port}`;
    let peer = peers.get(key);
    if (!peer) {
      peer = {
        address: peerAddress,
        instance: undefined,
        startedAtMs: 0,
        lastHeardMs: -Infinity,
        wallAheadMs: 0,
        status: UNKNOWN_STATUS,
      };
      peers.set(key, peer);
    }
    return peer;
  };
  const transmit = (news: LedgerNews[], targets: Peer[]) => {
    if (fleetId === undefined) return;
    const message: LedgerMessage = {
      fleetId,
      instance,
      startedAtMs,
      wallMs: Math.round(smoothTimeMs()),
      status: options.status(),
      news,
    };
    const bytes = encodeLedgerMessage(message);
    if (bytes.length > MAX_DATAGRAM_BYTES && news.length > 1) {
      const half = news.length >> 1;
      transmit(news.slice(0, half), targets);
      transmit(news.slice(half), targets);
      return;
    }
    for (const {address: to} of targets) socket.send(bytes, to.port, to.host);
  };
  const flush = () => {
    clearTimeout(flushTimer);
    flushTimer = undefined;
    isFlushing = false;
    const news = batch;
    batch = [];
    const targets = [...peers.values()].filter(isLive);
    if (news.length > 0 && targets.length > 0) transmit(news, targets);
  };
  const greet = () => {
    for (const peer of peers.values()) {
      if (peer.instance === undefined || isLive(peer)) continue;
      observer.onPeerGone(peer.instance);
      logger.info('peer_lost', {peer: peer.instance});
      peer.instance = undefined;
    }
    transmit([], [...peers.values()]);
  };
  socket.on('message', (bytes, from) => {
    const message = decodeLedgerMessage(bytes);
    if (!message || message.fleetId !== fleetId) return;
    if (message.instance === instance) return;
    const peer = peerAt({host: from.address, port: from.port});
    if (peer.instance === undefined) {
      logger.info('peer_found', {peer: message.instance});
    } else if (peer.startedAtMs !== message.startedAtMs) {
      observer.onPeerGone(peer.instance);
    }
    peer.instance = message.instance;
    peer.startedAtMs = message.startedAtMs;
    peer.lastHeardMs = clock.monotonicMs();
    peer.wallAheadMs = message.wallMs - smoothTimeMs();
    peer.status = message.status;
    for (const news of message.news) observer.onNews(message.instance, news);
  });
  socket.on('error', error =>
    logger.warn('peer_link_failed', {reason: error.message}),
  );
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(address.port, address.host, () => {
      socket.off('error', reject);
      resolve();
    });
  });
  const hello = setInterval(greet, HELLO_INTERVAL_MS);
  return {
    send(news, isUrgent) {
      batch.push(news);
      if (isUrgent && !isFlushing) {
        isFlushing = true;
        setImmediate(flush);
        return;
      }
      flushTimer ??= setTimeout(flush, BATCH_MS);
    },
    joinFleet(id) {
      fleetId = id;
    },
    setAddresses(addresses) {
      const wanted = addresses.filter(
        ({host, port}) => host !== address.host || port !== address.port,
      );
      const keys = new Set(wanted.map(({host, port}) => `${host}:${port}`));
      wanted.forEach(peerAt);
      for (const [key, peer] of peers) {
        if (!keys.has(key) && !isLive(peer)) peers.delete(key);
      }
      greet();
    },
    livePeers: () =>
      [...peers.values()].flatMap(peer =>
        isLive(peer) && peer.instance !== undefined
          ? [
              {
                instance: peer.instance,
                address: peer.address,
                wallAheadMs: peer.wallAheadMs,
                silentMs: clock.monotonicMs() - peer.lastHeardMs,
                ...peer.status,
              },
            ]
          : [],
      ),
    close() {
      clearInterval(hello);
      clearTimeout(flushTimer);
      socket.close();
    },
  };
}
