import type {Membership, UpstreamRecord} from '@sardinestile/fleet';
import {
  createFreshnessTracker,
  readClocks,
  type ClockReading,
} from '@sardinestile/freshness';
import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {UpstreamChanges} from '@sardinestile/peer';
import type {FeedBookmark, FeedPage, RecordFeed} from '@sardinestile/ports';
import {
  createFailoverFeed,
  createRecordLog,
  type FailoverFeed,
  type FeedReplica,
  type LogPosition,
} from '@sardinestile/shared_feed';
import type {Clock} from '@sardinestile/types';
import {chooseStoreReader} from './store_reader.js';

/**
 * Greatest age of a replica that is used, as a share of the drain limit. A reader
 * calls the store about every third of that limit.
 */
const MAX_REPLICA_AGE_SHARE_OF_DRAIN_LIMIT = 0.5;

/**
 * Time for which a gateway reads the store after a call to a reader failed, in
 * milliseconds. The link between the gateways detects a dead reader sooner.
 */
const STORE_FALLBACK_MS = 3_000;

/** Options for `createSharedUpstreams`. */
export interface SharedUpstreamsOptions {
  instance: string;
  /** Feed of the upstreams in the store. */
  store: RecordFeed<UpstreamRecord>;
  membership: Membership;
  /** Gateways of the same group whose heartbeats arrived recently. */
  peers: () => readonly LivePeer[];
  fetchFromPeer: (
    address: string,
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamChanges>;
  /** Time after which a draining upstream must get no new request, in milliseconds. */
  drainLimitMs: number;
  clock: Clock;
  logger: Logger;
}

/** List of upstreams that some gateways read from the store and the others replicate from them. */
export interface SharedUpstreams {
  /** Feed of the store or of a peer's replica, depending on this gateway's role. */
  readonly feed: FailoverFeed<UpstreamRecord>;
  /** Records that all changes up to `sentAt` were received. */
  recordUpToDate(sentAt: ClockReading): void;
  /** Records that the list may be out of date. */
  invalidate(): void;
  /** Offers the current list to peers as a version of the store. */
  publish(version: number): void;
  /** Offers the current list to peers after a change that is not in the store. */
  republish(): void;
  /**
   * Waits for changes and returns them for a peer; undefined if this gateway
   * follows a replica or its list is too old.
   */
  getUpstreamChanges(
    since: LogPosition | undefined,
    waitMs: number,
  ): Promise<UpstreamChanges | undefined>;
  /** Ends the waiting calls of peers. */
  close(): void;
}

/**
 * Shares the list of upstreams within a group of gateways, so that the load on
 * the store (its calls and the heartbeats that they return) does not grow with
 * the number of gateways.
 */
export function createSharedUpstreams(
  options: SharedUpstreamsOptions,
): SharedUpstreams {
  const {instance, clock, logger, drainLimitMs} = options;
  const maxAgeMs = MAX_REPLICA_AGE_SHARE_OF_DRAIN_LIMIT * drainLimitMs;
  const freshness = createFreshnessTracker();
  const log = createRecordLog<UpstreamRecord>({
    keyOf: ({id}) => id,
    isSame: isSameRecord,
  });
  let hasPeerRequests = false;
  let version = 0;
  let replica: FeedReplica<UpstreamRecord> | undefined;

  const chooseReplica = () => {
    const reader = chooseStoreReader(instance, options.peers());
    if (!reader) return undefined;
    if (replica?.name === reader.instance) return replica;
    const {host, port} = reader.address;
    replica = createUpstreamReplica({
      name: reader.instance,
      fetchFromPeer: (since, waitMs) =>
        options.fetchFromPeer(`${host}:${port}`, since, waitMs),
      maxAgeMs,
    });
    return replica;
  };
  const feed = createFailoverFeed({
    origin: options.store,
    chooseReplica,
    originFallbackMs: STORE_FALLBACK_MS,
    clock,
    onReplicaFailed(peer, reason) {
      const operation = `copy the upstreams of ${peer}`;
      logger.warn('peer_failed', {operation, reason});
    },
    onSourceChanged: peer => logger.info('upstreams_source_changed', {peer}),
  });
  const republish = () => {
    if (!hasPeerRequests || !feed.isReadingOrigin) return;
    const {membership} = options;
    log.update({
      records: membership.all(),
      version,
      hasLapsed: membership.hasRemovedUpstreams(),
    });
  };
  const canServePeers = () =>
    feed.isReadingOrigin && freshness.ageMs(readClocks(clock)) <= maxAgeMs;
  return {
    feed,
    recordUpToDate(sentAt) {
      if (feed.isReadingOrigin) freshness.confirm(sentAt);
    },
    invalidate: () => freshness.invalidate(),
    publish(storeVersion) {
      version = storeVersion;
      republish();
    },
    republish,
    async getUpstreamChanges(since, waitMs) {
      if (!canServePeers()) return undefined;
      if (!hasPeerRequests) {
        hasPeerRequests = true;
        republish();
      }
      const changes = await log.waitForChanges(since, waitMs);
      if (!canServePeers()) return undefined;
      return {...changes, ageMs: freshness.ageMs(readClocks(clock))};
    },
    close: () => log.close(),
  };
}

interface UpstreamReplicaOptions {
  name: string;
  fetchFromPeer: (
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamChanges>;
  maxAgeMs: number;
}

/** Creates a feed of the list that a peer offers. */
function createUpstreamReplica(
  options: UpstreamReplicaOptions,
): FeedReplica<UpstreamRecord> {
  const {name, fetchFromPeer, maxAgeMs} = options;
  const fetchFresh = async (since: LogPosition | undefined, waitMs: number) => {
    const changes = await fetchFromPeer(since, waitMs);
    if (changes.ageMs > maxAgeMs) {
      throw new Error(`the replica is ${Math.round(changes.ageMs)} ms old`);
    }
    return changes;
  };
  return {
    name,
    feed: {
      readAll: async () => toPage(await fetchFresh(undefined, 0)),
      async waitForChanges(version, waitMs, bookmark) {
        const since = {cursor: bookmark && toCursor(bookmark), version};
        const changes = await fetchFresh(since, waitMs);
        // A gateway that read the store itself before may have a newer version than
        // the peer.
        if (changes.version < version) {
          return {kind: 'changes', page: {entries: [], version, bookmark}};
        }
        const kind = changes.isWhole ? 'snapshot' : 'changes';
        return {kind, page: toPage(changes)};
      },
    },
  };
}

function toCursor({epoch, position}: FeedBookmark): LogPosition['cursor'] {
  return {epoch, position};
}

function toPage(changes: UpstreamChanges): FeedPage<UpstreamRecord> {
  const {version, epoch, position, hasLapsed: hasRemovedRecords} = changes;
  return {
    version,
    bookmark: {epoch, position, hasRemovedRecords},
    entries: [
      ...changes.changed.map(value => ({key: value.id, value, findings: []})),
      ...changes.removedKeys.map(key => ({
        key,
        value: undefined,
        findings: [],
      })),
    ],
  };
}

function isSameRecord(one: UpstreamRecord, other: UpstreamRecord): boolean {
  return (
    one.address === other.address &&
    one.service === other.service &&
    one.availabilityZone === other.availabilityZone &&
    one.places === other.places &&
    one.isLeaving === other.isLeaving &&
    one.startedAtWallMs === other.startedAtWallMs &&
    one.coldMs === other.coldMs &&
    one.softwareVersion === other.softwareVersion
  );
}
