import {
  sortByHash,
  type Membership,
  type UpstreamRecord,
} from '@sardinestile/fleet';
import {
  createFreshness,
  readClocks,
  type ClockReading,
} from '@sardinestile/freshness';
import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {UpstreamCopy} from '@sardinestile/peer';
import type {FeedPage, RecordFeed} from '@sardinestile/ports';
import {hashText} from '@sardinestile/placement';
import {
  createFailoverFeed,
  createRecordLog,
  type FailoverFeed,
  type FeedCopy,
  type LogPosition,
} from '@sardinestile/shared_feed';
import type {Clock} from '@sardinestile/types';

/** Gateways of a group that read the store; as many as the smallest deployments have at all. */
const READERS_IN_GROUP = 4;

/** Age from which a copy is not trusted, as a share of the time in which a leaving upstream must be known; a reader's calls are a third of it apart. */
const MAX_COPY_AGE_SHARE = 0.5;

/** Time for which the store is read after a reader failed, in milliseconds; the link notices a dead one sooner. */
const STORE_TIME_MS = 5_000;

/** What sharing needs. */
export interface SharedUpstreamsOptions {
  instance: string;
  /** The upstreams in the store. */
  store: RecordFeed<UpstreamRecord>;
  membership: Membership;
  /** Gateways of the same group that were heard lately. */
  peers: () => readonly LivePeer[];
  ask: (
    address: string,
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamCopy>;
  /** Time after which a leaving upstream must get no new request. */
  drainLimitMs: number;
  clock: Clock;
  logger: Logger;
}

/** The upstreams as some gateways read them and the others copy them. */
export interface SharedUpstreams {
  /** The store or another gateway's copy, whichever this gateway follows. */
  readonly feed: FailoverFeed<UpstreamRecord>;
  /** Notes that the feed has told everything up to `sentAt`. */
  prove(sentAt: ClockReading): void;
  /** Notes that what is believed in may be out of date. */
  invalidate(): void;
  /** Passes on what is believed in as of a version of the store. */
  publish(version: number): void;
  /** Passes on what changed without a change in the store. */
  republish(): void;
  /** Answers a peer; undefined where this gateway cannot vouch for what it knows. */
  answer(
    since: LogPosition | undefined,
    waitMs: number,
  ): Promise<UpstreamCopy | undefined>;
  close(): void;
}

/**
 * Shares the upstreams in a group of gateways, so that the calls to the store
 * and the heartbeats that come with them do not grow with the gateways.
 */
export function createSharedUpstreams(
  options: SharedUpstreamsOptions,
): SharedUpstreams {
  const {instance, clock, logger, drainLimitMs} = options;
  const maxAgeMs = MAX_COPY_AGE_SHARE * drainLimitMs;
  const freshness = createFreshness();
  const log = createRecordLog<UpstreamRecord>({
    keyOf: ({id}) => id,
    isSame: isSameRecord,
  });
  let hasAskers = false;
  let version = 0;
  let copy: FeedCopy<UpstreamRecord> | undefined;

  const chooseCopy = () => {
    const peers = options.peers().filter(({isStopping}) => !isStopping);
    const names = [...peers.map(peer => peer.instance), instance];
    const readers = sortByHash(names, name => name).slice(0, READERS_IN_GROUP);
    if (readers.includes(instance)) return undefined;
    const name = readers[hashText(instance) % readers.length];
    if (copy?.name === name) return copy;
    const {host, port} = peers.find(peer => peer.instance === name)!.address;
    copy = createUpstreamCopy({
      name,
      ask: (since, waitMs) => options.ask(`${host}:${port}`, since, waitMs),
      maxAgeMs,
    });
    return copy;
  };
  const feed = createFailoverFeed({
    origin: options.store,
    chooseCopy,
    originTimeMs: STORE_TIME_MS,
    clock,
    onCopyFailed(peer, reason) {
      const operation = `copy the upstreams of ${peer}`;
      logger.warn('peer_failed', {operation, reason});
    },
    onSourceChanged: peer => logger.info('upstreams_source_changed', {peer}),
  });
  const republish = () => {
    if (!hasAskers || !feed.isAtOrigin) return;
    const {membership} = options;
    log.update({
      records: membership.all(),
      version,
      hasLapsed: membership.hasLapsed(),
    });
  };
  const canVouch = () =>
    feed.isAtOrigin && freshness.ageMs(readClocks(clock)) <= maxAgeMs;
  return {
    feed,
    prove(sentAt) {
      if (feed.isAtOrigin) freshness.prove(sentAt);
    },
    invalidate: () => freshness.invalidate(),
    publish(current) {
      version = current;
      republish();
    },
    republish,
    async answer(since, waitMs) {
      if (!canVouch()) return undefined;
      if (!hasAskers) {
        hasAskers = true;
        republish();
      }
      const changes = await log.waitForChanges(since, waitMs);
      if (!canVouch()) return undefined;
      return {...changes, ageMs: freshness.ageMs(readClocks(clock))};
    },
    close: () => log.close(),
  };
}

interface UpstreamCopyOptions {
  name: string;
  ask: (
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamCopy>;
  maxAgeMs: number;
}

/** The upstreams as another gateway passes them on. */
function createUpstreamCopy(
  options: UpstreamCopyOptions,
): FeedCopy<UpstreamRecord> {
  const {name, ask, maxAgeMs} = options;
  let place: LogPosition['place'];
  let hasLapsed = false;
  const askFresh = async (since: LogPosition | undefined, waitMs: number) => {
    const answer = await ask(since, waitMs);
    if (answer.ageMs > maxAgeMs) {
      throw new Error(`the copy is ${Math.round(answer.ageMs)} ms old`);
    }
    // Who comes from the store may know more than the gateway with the copy yet.
    if (since && answer.version < since.version) return undefined;
    place = {epoch: answer.epoch, position: answer.position};
    hasLapsed = answer.hasLapsed;
    return answer;
  };
  return {
    name,
    hasLapsed: () => hasLapsed,
    feed: {
      readAll: async () => toPage((await askFresh(undefined, 0))!),
      async waitForChanges(version, waitMs) {
        const answer = await askFresh({place, version}, waitMs);
        if (!answer) return {kind: 'changes', page: {entries: [], version}};
        const kind = answer.isWhole ? 'whole' : 'changes';
        return {kind, page: toPage(answer)};
      },
    },
  };
}

function toPage(copy: UpstreamCopy): FeedPage<UpstreamRecord> {
  return {
    version: copy.version,
    entries: [
      ...copy.changed.map(value => ({key: value.id, value, findings: []})),
      ...copy.removedKeys.map(key => ({key, value: undefined, findings: []})),
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
    one.startedAtWallMs === other.startedAtWallMs
  );
}
