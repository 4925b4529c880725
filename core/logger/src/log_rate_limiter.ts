/** Limits the rate of log lines for each event. */
export interface LogRateLimiter {
  /** Returns whether a line of the event may be written now, and counts it. */
  allow(event: string, nowMs: number): boolean;
  /** Returns the number of suppressed lines of each event since the last call. */
  takeSuppressed(): Array<{event: string; lines: number}>;
}

/** Options for createLogRateLimiter; the limits apply to each event separately. */
export interface LogRateLimiterOptions {
  linesPerSecond: number;
  /** Size of the token bucket: lines that may be written in a burst. */
  burst: number;
}

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  suppressed: number;
}

/** Creates a rate limiter with one token bucket for each event. */
export function createLogRateLimiter(
  options: LogRateLimiterOptions,
): LogRateLimiter {
  const {linesPerSecond, burst} = options;
  const buckets = new Map<string, Bucket>();
  return {
    allow(event, nowMs) {
      let bucket = buckets.get(event);
      if (!bucket) {
        bucket = {tokens: burst, refilledAtMs: nowMs, suppressed: 0};
        buckets.set(event, bucket);
      }
      const refill = ((nowMs - bucket.refilledAtMs) / 1000) * linesPerSecond;
      bucket.tokens = Math.min(burst, bucket.tokens + Math.max(0, refill));
      bucket.refilledAtMs = nowMs;
      if (bucket.tokens < 1) {
        bucket.suppressed++;
        return false;
      }
      bucket.tokens--;
      return true;
    },
    takeSuppressed() {
      const counts: Array<{event: string; lines: number}> = [];
      for (const [event, bucket] of buckets) {
        if (bucket.suppressed === 0) continue;
        counts.push({event, lines: bucket.suppressed});
        bucket.suppressed = 0;
      }
      return counts;
    },
  };
}
