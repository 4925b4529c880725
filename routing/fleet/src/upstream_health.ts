/** Failures in a row after which an upstream rests. */
const FAILURES_TO_REST = 2;

/** Shortest and longest rest, in milliseconds; a rest doubles with each failed trial. */
const MIN_REST_MS = 300;
const MAX_REST_MS = 3_000;

/** Weight of one answer in the error rate. */
const ERROR_RATE_WEIGHT = 0.12;

/** The same where another gateway saw the answer; its path there may be at fault. */
const PEER_ERROR_RATE_WEIGHT = 0.06;

/** Time after which the error rate has fallen to 37% without requests, in milliseconds. */
const ERROR_RATE_DECAY_MS = 6_000;

/** Weight of one sample in the slowness of an upstream. */
const SLOWNESS_WEIGHT = 0.2;

/** Bounds of the slowness, as a factor of the expected time. */
const MAX_SLOWNESS = 12;

/** What requests have shown of one upstream. */
export interface UpstreamHealth {
  /** Whether requests may go there now. */
  isUsable(nowMs: number): boolean;
  /** Share of recent requests that it failed, 0 to 1. */
  errorRate(nowMs: number): number;
  /** How many times longer than expected it takes; at least 1. */
  readonly slowness: number;
  recordSuccess(nowMs: number): void;
  /** Notes an answer that says the upstream failed the request. */
  recordError(nowMs: number): void;
  /** Notes what came of another gateway's request. */
  recordPeerOutcome(isError: boolean, nowMs: number): void;
  /** Notes that it could not be reached or broke off. */
  recordUnreachable(nowMs: number): void;
  recordPace(actualMs: number, expectedMs: number): void;
}

/** Makes the record of an upstream of which nothing is known. */
export function createUpstreamHealth(): UpstreamHealth {
  let failures = 0;
  let restUntilMs = 0;
  let restMs = MIN_REST_MS;
  let errorRate = 0;
  let errorRateAtMs = 0;
  let slowness = 1;
  const decay = (nowMs: number) => {
    const ageMs = Math.max(0, nowMs - errorRateAtMs);
    errorRate *= Math.exp(-ageMs / ERROR_RATE_DECAY_MS);
    errorRateAtMs = nowMs;
    return errorRate;
  };
  const blend = (isError: boolean, weight: number, nowMs: number) => {
    decay(nowMs);
    errorRate += weight * ((isError ? 1 : 0) - errorRate);
  };
  return {
    isUsable: nowMs => nowMs >= restUntilMs,
    errorRate: decay,
    get slowness() {
      return slowness;
    },
    recordSuccess(nowMs) {
      failures = 0;
      restMs = MIN_REST_MS;
      blend(false, ERROR_RATE_WEIGHT, nowMs);
    },
    recordError: nowMs => blend(true, ERROR_RATE_WEIGHT, nowMs),
    recordPeerOutcome: (isError, nowMs) =>
      blend(isError, PEER_ERROR_RATE_WEIGHT, nowMs),
    recordUnreachable(nowMs) {
      failures++;
      blend(true, ERROR_RATE_WEIGHT, nowMs);
      if (failures < FAILURES_TO_REST) return;
      restUntilMs = nowMs + restMs;
      restMs = Math.min(MAX_REST_MS, 2 * restMs);
    },
    recordPace(actualMs, expectedMs) {
      if (expectedMs <= 0) return;
      const ratio = Math.min(MAX_SLOWNESS, Math.max(1, actualMs / expectedMs));
      slowness += SLOWNESS_WEIGHT * (ratio - slowness);
    },
  };
}
