import type {UpstreamRecord} from './fleet_types.js';

/**
 * Requests that may follow each other at once after a pause: one, and those of this
 * time at the limit, in milliseconds.
 */
const BURST_MS = 250;

/**
 * Requests beyond the limit for which later ones are held back, as a time at the
 * limit in milliseconds.
 */
const MAX_DEBT_MS = 4_000;

/**
 * Smallest rate at which requests are sent, in requests a second, since only
 * responses tell that a limit has ended.
 */
const MIN_RATE_PER_S = 0.1;

/**
 * Time after a response with a limit for which a peer's message that the limit has
 * ended is ignored, in milliseconds: the messages may have crossed.
 */
const STATED_RECENTLY_MS = 1_000;

/** Time without a response after which a limit is forgotten, in milliseconds. */
const LIMIT_LIFETIME_MS = 600_000;

type Upstream = Pick<UpstreamRecord, 'id' | 'startedAtWallMs'>;

/** Options for `createRequestLimits`. */
export interface RequestLimitsOptions {
  /**
   * Share of the requests to an upstream that this gateway hears of, its own ones
   * included; 0 to 1. The rest of the limit is left to gateways that it does not hear.
   */
  heardShare: (upstream: Upstream) => number;
}

/**
 * Limits that upstreams state for the requests of all gateways together. Each
 * gateway counts its own requests and those that its peers report, so that the
 * limit is divided by demand. They are kept apart from the registrations, so that
 * they outlast one that is removed and written again.
 */
export interface RequestLimits {
  /**
   * Records the limit that a response stated, in requests a second. Returns whether
   * it is new or different.
   */
  state(upstream: Upstream, limitPerS: number, nowMs: number): boolean;
  /**
   * Records a response without a limit to a request that was sent at a time. Returns
   * whether it ends a limit; not if the limit was stated after the request was sent.
   */
  stateNone(upstream: Upstream, sentAtMs: number): boolean;
  /** Applies what a peer learned; undefined if the upstream states no limit any more. */
  applyPeer(
    upstream: Upstream,
    limitPerS: number | undefined,
    nowMs: number,
  ): void;
  /** Counts a request that this gateway or a peer sent. */
  recordRequest(upstream: Upstream, nowMs: number): void;
  /** Whether the upstream states a limit. */
  isLimited(upstream: Upstream): boolean;
  /** Returns the time until a request may be sent, in milliseconds; 0 for now. */
  waitMs(upstream: Upstream, nowMs: number): number;
  /** Removes limits that were not stated for long. */
  prune(nowMs: number): void;
}

/** Token bucket of one upstream. */
interface Bucket {
  upstream: Upstream;
  limitPerS: number;
  /** Requests that may be sent; negative after more than the limit. */
  tokens: number;
  refilledAtMs: number;
  statedAtMs: number;
}

/** Creates a set without limits. */
export function createRequestLimits({
  heardShare,
}: RequestLimitsOptions): RequestLimits {
  const buckets = new Map<string, Bucket>();
  // A later start under the same id is another upstream, which stated nothing.
  const keyOf = ({id, startedAtWallMs}: Upstream) => `${startedAtWallMs} ${id}`;
  const bucketOf = (upstream: Upstream) =>
    buckets.size === 0 ? undefined : buckets.get(keyOf(upstream));
  const ratePerMs = ({upstream, limitPerS}: Bucket) =>
    Math.max(MIN_RATE_PER_S, limitPerS * heardShare(upstream)) / 1_000;
  const refill = (bucket: Bucket, nowMs: number) => {
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    const rate = ratePerMs(bucket);
    bucket.tokens = Math.min(
      1 + rate * BURST_MS,
      bucket.tokens + rate * elapsedMs,
    );
    bucket.refilledAtMs = nowMs;
  };
  const setLimit = (upstream: Upstream, limitPerS: number, nowMs: number) => {
    const bucket = bucketOf(upstream);
    if (bucket) {
      const isChanged = bucket.limitPerS !== limitPerS;
      refill(bucket, nowMs);
      bucket.limitPerS = limitPerS;
      bucket.statedAtMs = nowMs;
      return isChanged;
    }
    buckets.set(keyOf(upstream), {
      upstream,
      limitPerS,
      tokens: 0,
      refilledAtMs: nowMs,
      statedAtMs: nowMs,
    });
    return true;
  };
  return {
    state: setLimit,
    stateNone(upstream, sentAtMs) {
      const bucket = bucketOf(upstream);
      if (!bucket || bucket.statedAtMs >= sentAtMs) return false;
      return buckets.delete(keyOf(upstream));
    },
    applyPeer(upstream, limitPerS, nowMs) {
      if (limitPerS !== undefined) {
        setLimit(upstream, limitPerS, nowMs);
        return;
      }
      const bucket = bucketOf(upstream);
      if (bucket && nowMs - bucket.statedAtMs >= STATED_RECENTLY_MS) {
        buckets.delete(keyOf(upstream));
      }
    },
    recordRequest(upstream, nowMs) {
      const bucket = bucketOf(upstream);
      if (!bucket) return;
      refill(bucket, nowMs);
      const minTokens = -1 - ratePerMs(bucket) * MAX_DEBT_MS;
      bucket.tokens = Math.max(minTokens, bucket.tokens - 1);
    },
    isLimited: upstream => bucketOf(upstream) !== undefined,
    waitMs(upstream, nowMs) {
      const bucket = bucketOf(upstream);
      if (!bucket) return 0;
      refill(bucket, nowMs);
      return Math.max(0, (1 - bucket.tokens) / ratePerMs(bucket));
    },
    prune(nowMs) {
      for (const [key, {statedAtMs}] of buckets) {
        if (nowMs - statedAtMs >= LIMIT_LIFETIME_MS) buckets.delete(key);
      }
    },
  };
}
