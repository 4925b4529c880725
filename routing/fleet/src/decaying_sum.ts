/** Minimum time over which a rate is computed. */
const MIN_AGE_MS = 500;

/** Sum of values whose weight decays exponentially with their age. */
export interface DecayingSum {
  add(value: number, nowMs: number): void;
  /**
   * Returns the average rate per millisecond over about the last time constant.
   */
  rate(nowMs: number): number;
}

/**
 * Creates an empty sum. A value keeps 37% of its weight after `timeConstantMs`.
 */
export function createDecayingSum(timeConstantMs: number): DecayingSum {
  let sum = 0;
  let updatedAtMs = 0;
  let firstAddedAtMs: number | undefined;
  const decay = (nowMs: number) => {
    sum *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / timeConstantMs);
    updatedAtMs = nowMs;
  };
  return {
    add(value, nowMs) {
      decay(nowMs);
      firstAddedAtMs ??= nowMs;
      sum += value;
    },
    rate(nowMs) {
      decay(nowMs);
      if (firstAddedAtMs === undefined) return 0;
      // Until about one time constant after the first value, the weights add up
      // to less than one. Dividing by their sum corrects the rate.
      const ageMs = Math.max(MIN_AGE_MS, nowMs - firstAddedAtMs);
      const weight = 1 - Math.exp(-ageMs / timeConstantMs);
      return sum / (timeConstantMs * weight);
    },
  };
}
