/** Decides which lines of an event are written. */
export interface LineBudget {
  /** Takes one line of the event; false when its budget is spent. */
  take(event: string, nowMs: number): boolean;
  /** Lines of each event that were left out since the last call. */
  takeSuppressed(): Array<{event: string; lines: number}>;
}

/** How many lines each event may write. */
export interface LineBudgetOptions {
  linesPerSecond: number;
  /** Lines that may be written at once after a quiet time. */
  burst: number;
}

interface Bucket {
  tokens: number;
  filledAtMs: number;
  suppressed: number;
}

/** Makes a budget with one token bucket for each event. */
export function createLineBudget(options: LineBudgetOptions): LineBudget {
  const {linesPerSecond, burst} = options;
  const buckets = new Map<string, Bucket>();
  return {
    take(event, nowMs) {
      let bucket = buckets.get(event);
      if (!bucket) {
        bucket = {tokens: burst, filledAtMs: nowMs, suppressed: 0};
        buckets.set(event, bucket);
      }
      const refill = ((nowMs - bucket.filledAtMs) / 1000) * linesPerSecond;
      bucket.tokens = Math.min(burst, bucket.tokens + Math.max(0, refill));
      bucket.filledAtMs = nowMs;
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
