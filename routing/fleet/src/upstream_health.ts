/**
 * Number of consecutive connection failures after which an upstream is not used
 * for a time.
 */
const FAILURES_TO_BACK_OFF = 2;

/** Minimum and maximum backoff; it doubles with each further failure. */
const MIN_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 3_000;

/** Weight of one request in the error rate. */
const ERROR_RATE_WEIGHT = 0.12;

/**
 * Weight of a request of another gateway in the error rate. It is lower,
 * because the path from that gateway to the upstream can be the cause.
 */
const PEER_ERROR_RATE_WEIGHT = 0.06;

/** Time in which the error rate falls to 37% if there are no requests. */
const ERROR_RATE_DECAY_MS = 6_000;

/** Weight of one sample in the slowness. */
const SLOWNESS_WEIGHT = 0.2;

/** Maximum slowness, as a multiple of the expected time. */
const MAX_SLOWNESS = 12;

/** Health of one upstream, derived from the requests sent to it. */
export interface UpstreamHealth {
  /** Whether requests may be sent to it: it is not in backoff. */
  isUsable(nowMs: number): boolean;
  /** Returns the share of recent requests that failed, 0 to 1. */
  errorRate(nowMs: number): number;
  /**
   * Moving average of the actual time to the first event over the expected one;
   * at least 1.
   */
  readonly slowness: number;
  /** Records a successful request and resets the backoff. */
  recordSuccess(nowMs: number): void;
  /** Records a response with an error from the upstream. */
  recordErrorResponse(nowMs: number): void;
  /** Records the outcome of a request of another gateway. */
  recordPeerOutcome(isError: boolean, nowMs: number): void;
  /** Records that the connection could not be opened or broke off. */
  recordUnreachable(nowMs: number): void;
  /** Adds a sample of the actual and the expected time to the first event. */
  recordFirstEventTime(actualMs: number, expectedMs: number): void;
}

/** Creates the health of an upstream that no request was sent to. */
export function createUpstreamHealth(): UpstreamHealth {
  let consecutiveFailures = 0;
  let backoffUntilMs = 0;
  let backoffMs = MIN_BACKOFF_MS;
  let errorRate = 0;
  let errorRateAtMs = 0;
  let slowness = 1;
  const decayErrorRate = (nowMs: number) => {
    const ageMs = Math.max(0, nowMs - errorRateAtMs);
    errorRate *= Math.exp(-ageMs / ERROR_RATE_DECAY_MS);
    errorRateAtMs = nowMs;
    return errorRate;
  };
  const addSample = (isError: boolean, weight: number, nowMs: number) => {
    decayErrorRate(nowMs);
    errorRate += weight * ((isError ? 1 : 0) - errorRate);
  };
  return {
    isUsable: nowMs => nowMs >= backoffUntilMs,
    errorRate: decayErrorRate,
    get slowness() {
      return slowness;
    },
    recordSuccess(nowMs) {
      consecutiveFailures = 0;
      backoffMs = MIN_BACKOFF_MS;
      addSample(false, ERROR_RATE_WEIGHT, nowMs);
    },
    recordErrorResponse: nowMs => addSample(true, ERROR_RATE_WEIGHT, nowMs),
    recordPeerOutcome: (isError, nowMs) =>
      addSample(isError, PEER_ERROR_RATE_WEIGHT, nowMs),
    recordUnreachable(nowMs) {
      consecutiveFailures++;
      addSample(true, ERROR_RATE_WEIGHT, nowMs);
      if (consecutiveFailures < FAILURES_TO_BACK_OFF) return;
      backoffUntilMs = nowMs + backoffMs;
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    },
    recordFirstEventTime(actualMs, expectedMs) {
      if (expectedMs <= 0) return;
      const ratio = Math.min(MAX_SLOWNESS, Math.max(1, actualMs / expectedMs));
      slowness += SLOWNESS_WEIGHT * (ratio - slowness);
    },
  };
}
