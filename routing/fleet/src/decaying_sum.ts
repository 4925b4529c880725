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
  const decay = (nowMs: number) => {
    sum *= Math.exp(-Math.max(0, nowMs - atMs) / timeConstantMs);
    atMs = nowMs;
  };
  return {
    add(value, nowMs) {
      decay(nowMs);
      sum += value;
    },
    rate(nowMs) {
      decay(nowMs);
      return sum / timeConstantMs;
    },
  };
}
