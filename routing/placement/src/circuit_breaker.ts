/** Number of consecutive failures that opens the circuit. */
const FAILURES_TO_OPEN = 3;

/**
 * Minimum and maximum time that the circuit stays open; it doubles with each
 * failed probe. A probe without a result is given up after the maximum.
 */
const MIN_OPEN_MS = 1_000;
const MAX_OPEN_MS = 30_000;

/**
 * Blocks requests to an upstream that fails repeatedly, and lets one request
 * through as a probe after a delay.
 */
export interface CircuitBreaker {
  /**
   * Whether a request may be sent now. While the circuit is open, this is true
   * once the delay is over and no probe is in flight.
   */
  allowsRequest(nowMs: number): boolean;
  /** Records that a request was sent; in an open circuit it is the probe. */
  recordSent(nowMs: number): void;
  /** Closes the circuit and resets the delay. */
  recordSuccess(): void;
  /** Counts a failure; opens the circuit when there are enough in a row. */
  recordFailure(nowMs: number): void;
}

/** Creates a circuit breaker whose circuit is closed. */
export function createCircuitBreaker(): CircuitBreaker {
  let failures = 0;
  let openUntilMs = 0;
  let openDurationMs = MIN_OPEN_MS;
  let probeSentAtMs: number | undefined;

  const isOpen = () => failures >= FAILURES_TO_OPEN;
  return {
    allowsRequest(nowMs) {
      if (!isOpen()) return true;
      if (nowMs < openUntilMs) return false;
      return probeSentAtMs === undefined || nowMs - probeSentAtMs > MAX_OPEN_MS;
    },
    recordSent(nowMs) {
      if (isOpen()) probeSentAtMs = nowMs;
    },
    recordSuccess() {
      failures = 0;
      openDurationMs = MIN_OPEN_MS;
      probeSentAtMs = undefined;
    },
    recordFailure(nowMs) {
      failures++;
      probeSentAtMs = undefined;
      if (!isOpen()) return;
      openUntilMs = nowMs + openDurationMs;
      openDurationMs = Math.min(MAX_OPEN_MS, 2 * openDurationMs);
    },
  };
}
