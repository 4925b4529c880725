import {DEVIATIONS_FOR_95_IN_100} from './prediction_error.js';

/** Exponentially weighted moving average; undefined until the first sample. */
export interface MovingAverage {
  readonly value: number | undefined;
  /** Average of the distances of the samples from the value; 0 before the second one. */
  readonly deviation: number;
  add(sample: number): void;
}

/** Creates a moving average; `newestWeight` is the weight of each new sample, 0 to 1. */
export function createMovingAverage(newestWeight: number): MovingAverage {
  let value: number | undefined;
  let deviation = 0;
  return {
    get value() {
      return value;
    },
    get deviation() {
      return deviation;
    },
    add(sample) {
      if (value === undefined) {
        value = sample;
        return;
      }
      deviation += newestWeight * (Math.abs(sample - value) - deviation);
      value += newestWeight * (sample - value);
    },
  };
}

/** Returns the value that 95 in 100 samples stay below; 0 without samples. */
export function boundOf({value = 0, deviation}: MovingAverage): number {
  return value + DEVIATIONS_FOR_95_IN_100 * deviation;
}
