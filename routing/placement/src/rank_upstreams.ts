import type {RandomSource} from '@sardinestile/types';
import {jumpHash} from './jump_hash.js';
import {hashText, rendezvousWeight} from './rendezvous_hash.js';

/**
 * Cost of an upstream in another availability zone. A cost of 1 equals the load
 * of an upstream that uses its whole capacity.
 */
const OTHER_ZONE_PENALTY = 0.15;

/** Cost subtracted for an upstream that probably has the prefix cached. */
const PREFIX_AFFINITY_BONUS = 0.5;

/** Number of upstreams that requests with the same prefix prefer. */
const AFFINITY_REPLICAS = 2;

/**
 * An upstream is a straggler above this multiple of the median token interval.
 */
const STRAGGLER_RATIO = 1.6;

/**
 * Cost that ranks a straggler behind every other upstream with free capacity.
 */
const STRAGGLER_PENALTY = 3;

/** Maximum number of upstreams that are all compared, without sampling. */
const MAX_UNSAMPLED = 24;

/**
 * Number of upstreams that are compared if there are more than MAX_UNSAMPLED.
 */
const SAMPLE_SIZE = 12;

/**
 * Upper bound of the random cost that spreads requests over upstreams of equal
 * load.
 */
const TIE_BREAK_SPREAD = 0.05;

/** State of one upstream as an entry sees it. */
export interface UpstreamView {
  id: string;
  availabilityZone: string;
  /** Whether the session to the agent of the upstream is open. */
  isConnected: boolean;
  isHealthy: boolean;
  isDraining: boolean;
  /** Whether the circuit breaker of the upstream allows a request. */
  isCircuitClosed: boolean;
  /** Running requests in the last load report. */
  running: number;
  /** Queued requests in the last load report. */
  waiting: number;
  /** Number of requests that the upstream runs at the same time. */
  capacity: number;
  /** Requests that this entry sent after the last load report. */
  unreportedRequests: number;
  /** Time between tokens, measured by the agent; 0 if unknown. */
  tokenIntervalMs: number;
}

/** Options for rankUpstreams. */
export interface RankUpstreamsOptions {
  views: readonly UpstreamView[];
  /** Zone of the entry that sends the request. */
  availabilityZone: string;
  /** Identifies the prefix of the prompt; empty for no prefix affinity. */
  prefixKey: string;
  random: RandomSource;
}

/**
 * Returns the ids of the usable upstreams, best first. If there are many, it
 * compares only a random sample and the upstreams that the prefix maps to, so
 * that the time for a decision hardly grows with the number of upstreams.
 */
export function rankUpstreams(options: RankUpstreamsOptions): string[] {
  const sampled = sampleViews(options).filter(isUsable);
  const usable = sampled.length > 0 ? sampled : options.views.filter(isUsable);
  const stragglerMs = STRAGGLER_RATIO * medianTokenIntervalMs(usable);
  const preferred = findAffinityUpstreams(usable, options.prefixKey);
  const costOf = (view: UpstreamView) => {
    const occupied = view.running + view.waiting + view.unreportedRequests;
    const isRemote = view.availabilityZone !== options.availabilityZone;
    const isStraggler = stragglerMs > 0 && view.tokenIntervalMs > stragglerMs;
    return (
      occupied / Math.max(1, view.capacity) +
      (isRemote ? OTHER_ZONE_PENALTY : 0) +
      (isStraggler ? STRAGGLER_PENALTY : 0) -
      (preferred.has(view.id) ? PREFIX_AFFINITY_BONUS : 0) +
      options.random.next() * TIE_BREAK_SPREAD
    );
  };
  return usable
    .map(view => ({id: view.id, cost: costOf(view)}))
    .sort((a, b) => a.cost - b.cost)
    .map(entry => entry.id);
}

function sampleViews(options: RankUpstreamsOptions): readonly UpstreamView[] {
  const {views, prefixKey, random} = options;
  if (views.length <= MAX_UNSAMPLED) return views;
  const sample = new Set<UpstreamView>();
  for (let replica = 0; prefixKey && replica < AFFINITY_REPLICAS; replica++) {
    const keyHash = hashText(`${prefixKey}/${replica}`);
    sample.add(views[jumpHash(keyHash, views.length)]);
  }
  while (sample.size < SAMPLE_SIZE) {
    sample.add(views[Math.floor(random.next() * views.length)]);
  }
  return [...sample];
}

function isUsable(view: UpstreamView): boolean {
  return (
    view.isConnected &&
    view.isHealthy &&
    view.isCircuitClosed &&
    !view.isDraining
  );
}

function medianTokenIntervalMs(views: readonly UpstreamView[]): number {
  const intervals = views
    .map(view => view.tokenIntervalMs)
    .filter(intervalMs => intervalMs > 0)
    .sort((a, b) => a - b);
  if (intervals.length < 3) return 0;
  return intervals[Math.floor(intervals.length / 2)];
}

function findAffinityUpstreams(
  views: readonly UpstreamView[],
  prefixKey: string,
): ReadonlySet<string> {
  if (!prefixKey) return new Set();
  const keyHash = hashText(prefixKey);
  const preferred = views
    .map(view => ({
      id: view.id,
      weight: rendezvousWeight(keyHash, hashText(view.id)),
    }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, AFFINITY_REPLICAS)
    .map(entry => entry.id);
  return new Set(preferred);
}
