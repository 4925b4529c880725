/** Shortest time over which a rate is taken, in milliseconds. */
const MIN_AGE_MS = 500;

/** A sum whose parts lose weight with time. */
export interface DecayingSum {
  add(value: number, nowMs: number): void;
  /** Parts of the last time constant, as a rate for each millisecond. */
  rate(nowMs: number): number;
}

/** Makes an empty sum; a part keeps 37% of its weight after the time constant. */
export function createDecayingSum(timeConstantMs: number): DecayingSum {
  let sum = 0;
  let atMs = 0;
  let firstAtMs: number | undefined;
  const decay = (nowMs: number) => {
    sum *= Math.exp(-Math.max(0, nowMs - atMs) / timeConstantMs);
    atMs = nowMs;
  };
  return {
    add(value, nowMs) {
      decay(nowMs);
      firstAtMs ??= nowMs;
      sum += value;
    },
    rate(nowMs) {
      decay(nowMs);
      if (firstAtMs === undefined) return 0;
      // Before the time constant is over, the weights do not add up to one yet.
      const ageMs = Math.max(MIN_AGE_MS, nowMs - firstAtMs);
      const weight = 1 - Math.exp(-ageMs / timeConstantMs);
      return sum / (timeConstantMs * weight);
    },
  };
}
