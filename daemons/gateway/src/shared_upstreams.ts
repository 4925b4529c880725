import {sortByHash, type UpstreamRecord} from '@sardinestile/fleet';
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
  /** Every upstream that this gateway believes in. */
  known: () => readonly UpstreamRecord[];
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
  /** Passes on what changed. */
  publish(): void;
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
  let copy: FeedCopy<UpstreamRecord> | undefined;

  const chooseCopy = () => {
    const peers = options.peers().filter(({isStopping}) => !isStopping);
    const names = [...peers.map(peer => peer.instance), instance];
    const readers = sortByHash(names, name => name).slice(0, READERS_IN_GROUP);
    if (readers.includes(instance)) return undefined;
    const name = readers[hashText(instance) % readers.length];
    if (copy?.name === name) return copy;
    const {host, port} = peers.find(peer => peer.instance === name)!.address;
    const feed = createCopyFeed({
      ask: (since, waitMs) => options.ask(`${host}:${port}`, since, waitMs),
      maxAgeMs,
    });
    copy = {name, feed};
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
  const publish = () => {
    if (hasAskers && feed.isAtOrigin) log.update(options.known());
  };
  const canVouch = () =>
    feed.isAtOrigin && freshness.ageMs(readClocks(clock)) <= maxAgeMs;
  return {
    feed,
    prove(sentAt) {
      if (feed.isAtOrigin) freshness.prove(sentAt);
    },
    invalidate: () => freshness.invalidate(),
    publish,
    async answer(since, waitMs) {
      if (!canVouch()) return undefined;
      if (!hasAskers) {
        hasAskers = true;
        publish();
      }
      const changes = await log.waitForChanges(since, waitMs);
      if (!canVouch()) return undefined;
      return {...changes, ageMs: freshness.ageMs(readClocks(clock))};
    },
    close: () => log.close(),
  };
}

interface CopyFeedOptions {
  ask: (
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamCopy>;
  maxAgeMs: number;
}

function createCopyFeed(options: CopyFeedOptions): RecordFeed<UpstreamRecord> {
  const {ask, maxAgeMs} = options;
  let since: LogPosition | undefined;
  const askFresh = async (waitMs: number) => {
    const answer = await ask(since, waitMs);
    if (answer.ageMs > maxAgeMs) {
      throw new Error(`the copy is ${Math.round(answer.ageMs)} ms old`);
    }
    since = {epoch: answer.epoch, position: answer.position};
    return answer;
  };
  return {
    async readAll() {
      since = undefined;
      return toPage(await askFresh(0));
    },
    async waitForChanges(_afterVersion, waitMs) {
      const answer = await askFresh(waitMs);
      return answer.isWhole
        ? {kind: 'historyLost'}
        : {kind: 'changes', page: toPage(answer)};
    },
  };
}

function toPage(copy: UpstreamCopy): FeedPage<UpstreamRecord> {
  return {
    version: copy.position,
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
