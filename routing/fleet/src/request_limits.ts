import {createSystemRandom, type RandomSource} from '@sardinestile/types';
import {createSendStagger, type SendStagger} from './send_stagger.js';
import {upstreamKey, type UpstreamStart} from './upstream_key.js';

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

/**
 * Share of the rate of a cold upstream that is used; the rest covers requests whose
 * reports are lost.
 */
const COLD_RATE_SHARE = 0.9;

type Upstream = UpstreamStart;

/** Options for `createRequestLimits`. */
export interface RequestLimitsOptions {
  /**
   * Share of the requests to an upstream that this gateway hears of, its own ones
   * included; 0 to 1. The rest of the limit is left to gateways that it does not hear.
   */
  heardShare: (upstream: Upstream) => number;
  /**
   * Requests a second that a cold upstream takes from all gateways together; undefined
   * if it is not cold.
   */
  coldRatePerS?: (upstream: Upstream, nowMs: number) => number | undefined;
  /** Number of gateways that may send to an upstream, heard or not; 1 if absent. */
  senderCount?: (upstream: Upstream) => number;
  random?: RandomSource;
}

/**
 * Limits that upstreams state for the requests of all gateways together, or that apply
 * while they are cold; the smaller one counts. Each gateway counts its own requests and those that its peers report, so that the
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
  /** Limit that the upstream states, in requests a second. */
  statedPerS: number | undefined;
  /** Rate while it is cold, in requests a second. */
  coldPerS: number | undefined;
  /** Spreads the requests of the gateways while it is cold. */
  stagger: SendStagger | undefined;
  /** Requests that may be sent; negative after more than the limit. */
  tokens: number;
  refilledAtMs: number;
  statedAtMs: number;
}

/** Creates a set without limits. */
export function createRequestLimits({
  heardShare,
  coldRatePerS = () => undefined,
  senderCount = () => 1,
  random = createSystemRandom(),
}: RequestLimitsOptions): RequestLimits {
  const buckets = new Map<string, Bucket>();
  // A later start under the same id is another upstream, which stated nothing.
  const statedBucketOf = (upstream: Upstream) => {
    const bucket =
      buckets.size === 0 ? undefined : buckets.get(upstreamKey(upstream));
    return bucket?.statedPerS === undefined ? undefined : bucket;
  };
  const addBucket = (upstream: Upstream, nowMs: number) => {
    const bucket: Bucket = {
      upstream,
      statedPerS: undefined,
      coldPerS: undefined,
      stagger: undefined,
      tokens: 0,
      refilledAtMs: nowMs,
      statedAtMs: nowMs,
    };
    buckets.set(upstreamKey(upstream), bucket);
    return bucket;
  };
  const removeIfUnused = ({upstream, statedPerS, coldPerS}: Bucket) => {
    const isUnused = statedPerS === undefined && coldPerS === undefined;
    if (isUnused) buckets.delete(upstreamKey(upstream));
    return isUnused;
  };
  const limitPerS = ({statedPerS = Infinity, coldPerS = Infinity}: Bucket) =>
    Math.min(statedPerS, COLD_RATE_SHARE * coldPerS);
  const ratePerMs = (bucket: Bucket) => {
    const perS = limitPerS(bucket) * heardShare(bucket.upstream);
    // The end of a cold time is known without a request.
    const minPerS = bucket.coldPerS === undefined ? MIN_RATE_PER_S : 0;
    return Math.max(minPerS, perS) / 1_000;
  };
  const refill = (bucket: Bucket, nowMs: number) => {
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    const rate = ratePerMs(bucket);
    bucket.tokens = bucket.stagger
      ? bucket.stagger.refill(
          bucket.tokens,
          elapsedMs,
          {ratePerMs: rate, senderCount: senderCount(bucket.upstream)},
          nowMs,
        )
      : Math.min(1 + rate * BURST_MS, bucket.tokens + rate * elapsedMs);
    bucket.refilledAtMs = nowMs;
  };
  /** Returns the bucket of an upstream that states a limit or is cold. */
  const bucketOf = (upstream: Upstream, nowMs: number): Bucket | undefined => {
    const coldPerS = coldRatePerS(upstream, nowMs);
    let bucket = buckets.get(upstreamKey(upstream));
    if (bucket?.coldPerS === coldPerS) return bucket;
    if (bucket) refill(bucket, nowMs);
    bucket ??= addBucket(upstream, nowMs);
    bucket.coldPerS = coldPerS;
    if (removeIfUnused(bucket)) return undefined;
    if (coldPerS === undefined) bucket.stagger = undefined;
    else if (!bucket.stagger) {
      // Tokens of before the upstream became cold allow no burst.
      bucket.tokens = Math.min(0, bucket.tokens);
      bucket.stagger = createSendStagger(random);
    }
    return bucket;
  };
  const setLimit = (upstream: Upstream, perS: number, nowMs: number) => {
    const bucket = bucketOf(upstream, nowMs) ?? addBucket(upstream, nowMs);
    const isChanged = bucket.statedPerS !== perS;
    if (bucket.statedPerS !== undefined) refill(bucket, nowMs);
    bucket.statedPerS = perS;
    bucket.statedAtMs = nowMs;
    return isChanged;
  };
  const removeLimit = (bucket: Bucket) => {
    bucket.statedPerS = undefined;
    removeIfUnused(bucket);
  };
  return {
    state: setLimit,
    stateNone(upstream, sentAtMs) {
      const bucket = statedBucketOf(upstream);
      if (!bucket || bucket.statedAtMs >= sentAtMs) return false;
      removeLimit(bucket);
      return true;
    },
    applyPeer(upstream, limitPerS, nowMs) {
      if (limitPerS !== undefined) {
        setLimit(upstream, limitPerS, nowMs);
        return;
      }
      const bucket = statedBucketOf(upstream);
      if (bucket && nowMs - bucket.statedAtMs >= STATED_RECENTLY_MS) {
        removeLimit(bucket);
      }
    },
    recordRequest(upstream, nowMs) {
      const bucket = bucketOf(upstream, nowMs);
      if (!bucket) return;
      refill(bucket, nowMs);
      const minTokens = -1 - ratePerMs(bucket) * MAX_DEBT_MS;
      bucket.tokens = Math.max(minTokens, bucket.tokens - 1);
      if (!bucket.stagger) return;
      bucket.stagger.recordRequest();
      // Gateways that do not hear each other add up their bursts.
      const isAlone = heardShare(upstream) < 1;
      if (isAlone) bucket.tokens = Math.min(bucket.tokens, 0);
    },
    isLimited: upstream => statedBucketOf(upstream) !== undefined,
    waitMs(upstream, nowMs) {
      const bucket = bucketOf(upstream, nowMs);
      if (!bucket) return 0;
      refill(bucket, nowMs);
      const rate = ratePerMs(bucket);
      return (
        bucket.stagger?.waitMs(bucket.tokens, rate, nowMs) ??
        Math.max(0, (1 - bucket.tokens) / rate)
      );
    },
    prune(nowMs) {
      for (const bucket of buckets.values()) {
        const isForgotten = nowMs - bucket.statedAtMs >= LIMIT_LIFETIME_MS;
        if (isForgotten) bucket.statedPerS = undefined;
        // A cold upstream that nobody asks for does not notice its end by itself.
        if (coldRatePerS(bucket.upstream, nowMs) === undefined) {
          bucket.coldPerS = undefined;
          bucket.stagger = undefined;
        }
        removeIfUnused(bucket);
      }
    },
  };
}
