import type {UpstreamFleet, UpstreamRecord} from '@sardinestile/fleet';
import type {PeerAddress} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {CachedParts, PeerClient} from '@sardinestile/peer';
import {hashText, rendezvousWeight} from '@sardinestile/placement';
import type {PromptCacheReader, PromptPart} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {shuffle} from '../shared/shuffle.js';

/** Peers that are asked at the same time; some registrations are of lost gateways. */
const PEERS_TO_ASK = 5;

/**
 * Time for the peers' answers and heartbeats before the engines are read, in
 * milliseconds; a live peer answers in much less, a lost one not at all.
 */
const PEER_ANSWER_LIMIT_MS = 150;

/**
 * Time since its start after which a gateway knows enough to answer, in
 * milliseconds.
 */
const MIN_UPTIME_MS = 3_000;

/** Smallest part that is told to peers, in tokens; smaller ones are soon computed. */
const MIN_PART_TOKENS = 256;

/** Another gateway of the group. */
export interface RecoveryPeer {
  instance: string;
  address: PeerAddress;
}

/** Options for `createCacheRecovery`. */
export interface CacheRecoveryOptions {
  instance: string;
  fleet: UpstreamFleet;
  reader: PromptCacheReader | undefined;
  /** Gateways of the group whose heartbeats arrived recently. */
  livePeers: () => readonly RecoveryPeer[];
  peerClient: Pick<PeerClient, 'fetchCachedParts' | 'sendCachedParts'>;
  clock: Clock;
  logger: Logger;
}

/** Knowledge of the engines' prompt caches that outlasts a restart. */
export interface CacheRecovery {
  /**
   * Learns once what the engines have cached: from a peer that knows it, else
   * from the engines. Each live gateway of the group reads a part of the engines
   * and tells the others, so that no engine is read by each of them.
   */
  recover(
    engines: readonly UpstreamRecord[],
    registeredPeers: readonly RecoveryPeer[],
  ): Promise<void>;
  /** Returns for a peer what the engines have cached; undefined shortly after the start. */
  getCachedParts(): CachedParts | undefined;
  /** Takes over what a peer has read. */
  applyCachedParts(cached: CachedParts): void;
}

/** Creates the recovery of a gateway that has just started. */
export function createCacheRecovery(
  options: CacheRecoveryOptions,
): CacheRecovery {
  const {instance, fleet, reader, peerClient, clock, logger} = options;
  const startedAtMs = clock.monotonicMs();
  let hasStarted = false;

  const restore = (upstreamId: string, parts: readonly PromptPart[]) => {
    const record = fleet.membership.get(upstreamId);
    if (record) fleet.upstreamStateOf(record).cache.restore(parts);
  };
  const applyCachedParts = ({upstreams}: CachedParts) => {
    for (const {upstreamId, parts} of upstreams) {
      restore(
        upstreamId,
        parts.map(([id, tokens]) => ({id, tokens})),
      );
    }
  };
  const addressOf = ({address: {host, port}}: RecoveryPeer) =>
    `${host}:${port}`;
  const logPeerFailure = (operation: string) => (error: Error) =>
    logger.info('peer_failed', {operation, reason: error.message});
  /** Returns whether a peer knew what the engines have cached. */
  const recoverFromPeers = async (peers: readonly RecoveryPeer[]) => {
    const answers = shuffle(peers)
      .slice(0, PEERS_TO_ASK)
      .map(async peer => peerClient.fetchCachedParts(addressOf(peer)));
    const limit = new Promise<undefined>(resolve =>
      setTimeout(() => resolve(undefined), PEER_ANSWER_LIMIT_MS),
    );
    // Peers that do not answer or know nothing yet are the usual case after a
    // restart of the whole fleet.
    const answered = Promise.any(answers).catch(() => limit);
    const cached = await Promise.race([answered, limit]);
    if (!cached) return false;
    applyCachedParts(cached);
    logger.info('caches_recovered', {
      source: 'peer',
      engines: cached.upstreams.length,
    });
    return true;
  };
  const readEngine = async ({id, address}: UpstreamRecord) => {
    try {
      const parts = await reader!.readCachedParts(address);
      restore(id, parts);
      return [{upstreamId: id, parts: toWireParts(parts)}];
    } catch (error) {
      const reason = (error as Error).message;
      logger.info('upstream_failed', {upstream: id, reason});
      return [];
    }
  };
  const recoverFromEngines = async (engines: readonly UpstreamRecord[]) => {
    const peers = options.livePeers();
    const names = [instance, ...peers.map(peer => peer.instance)];
    const own = engines.filter(
      engine =>
        readerOf(engine.id, names) === instance &&
        fleet.membership.isZoneInService(engine) &&
        !fleet.requestLimits.isLimited(engine) &&
        fleet.coldUpstreams.ratePerS(engine, clock.monotonicMs()) === undefined,
    );
    const upstreams = (await Promise.all(own.map(readEngine))).flat();
    logger.info('caches_recovered', {
      source: 'engines',
      engines: upstreams.length,
    });
    if (upstreams.length === 0) return;
    await Promise.all(
      peers.map(peer =>
        peerClient
          .sendCachedParts(addressOf(peer), {upstreams})
          .catch(logPeerFailure('tell what engines have cached')),
      ),
    );
  };
  return {
    applyCachedParts,
    async recover(engines, registeredPeers) {
      if (hasStarted || !reader || engines.length === 0) return;
      hasStarted = true;
      if (await recoverFromPeers(registeredPeers)) return;
      await recoverFromEngines(engines);
    },
    getCachedParts() {
      if (clock.monotonicMs() - startedAtMs < MIN_UPTIME_MS) return undefined;
      return {
        upstreams: fleet.membership.all().map(record => ({
          upstreamId: record.id,
          parts: toWireParts(
            fleet.upstreamStateOf(record).cache.prefilledSharedParts(),
          ),
        })),
      };
    },
  };
}

/** Returns the gateway that reads an engine; all gateways choose the same one. */
function readerOf(upstreamId: string, instances: readonly string[]): string {
  const upstreamHash = hashText(upstreamId);
  const weigh = (name: string) =>
    rendezvousWeight(upstreamHash, hashText(name));
  return instances.reduce((best, name) =>
    weigh(name) > weigh(best) ? name : best,
  );
}

function toWireParts(
  parts: readonly PromptPart[],
): CachedParts['upstreams'][number]['parts'] {
  return parts.flatMap(({id, tokens}) =>
    tokens >= MIN_PART_TOKENS ? [[id, tokens]] : [],
  );
}
