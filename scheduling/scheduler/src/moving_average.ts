/** Exponentially weighted moving average; undefined until the first sample. */
export interface MovingAverage {
  readonly value: number | undefined;
  add(sample: number): void;
}

/** Creates a moving average; `newestWeight` is the weight of each new sample, 0 to 1. */
export function createMovingAverage(newestWeight: number): MovingAverage {
  let value: number | undefined;
  return {
    get value() {
      return value;
    },
    add(sample) {
      value =
        value === undefined ? sample : value + newestWeight * (sample - value);
    },
  };
}
