/** Factor by which each new sample reduces the weight of all older ones. */
const SAMPLE_DECAY = 0.98;

/**
 * Mean absolute deviations below which 95 in 100 errors stay if they are normally
 * distributed. 95 in 100 requests are promised to meet their targets.
 */
export const DEVIATIONS_FOR_95_IN_100 = 2.06;

/**
 * Measured error of predictions of one kind of time, in milliseconds. Errors are
 * relative to the predictions, since long times are predicted less exactly than
 * short ones.
 */
export interface PredictionError {
  /** Whether any prediction was compared with a measured time. */
  readonly hasSamples: boolean;
  /** Adds a measured time and the prediction that was made for it. */
  add(predictedMs: number, actualMs: number): void;
  /**
   * Adds a time that was cut short, for example because the request was refused while
   * it waited. It says something only if it was already longer than predicted.
   */
  addUnfinished(predictedMs: number, elapsedMs: number): void;
  /** Corrects a prediction by the mean error. */
  expectedMs(predictedMs: number): number;
  /** Returns the time that 95 in 100 of the measured ones stay below. */
  boundMs(predictedMs: number): number;
}

/** Creates an error without samples, which takes predictions to be exact. */
export function createPredictionError(): PredictionError {
  let predictedSumMs = 0;
  let actualSumMs = 0;
  let deviationSumMs = 0;
  const expectedMs = (predictedMs: number) =>
    predictedSumMs > 0
      ? (predictedMs * actualSumMs) / predictedSumMs
      : predictedMs;
  const add = (predictedMs: number, actualMs: number) => {
    if (predictedMs <= 0) return;
    predictedSumMs = SAMPLE_DECAY * predictedSumMs + predictedMs;
    actualSumMs = SAMPLE_DECAY * actualSumMs + actualMs;
    const deviationMs = Math.abs(actualMs - expectedMs(predictedMs));
    deviationSumMs = SAMPLE_DECAY * deviationSumMs + deviationMs;
  };
  return {
    get hasSamples() {
      return predictedSumMs > 0;
    },
    add,
    addUnfinished(predictedMs, elapsedMs) {
      if (elapsedMs > expectedMs(predictedMs)) add(predictedMs, elapsedMs);
    },
    expectedMs,
    boundMs(predictedMs) {
      const deviation =
        predictedSumMs > 0 ? deviationSumMs / predictedSumMs : 0;
      return (
        expectedMs(predictedMs) +
        DEVIATIONS_FOR_95_IN_100 * deviation * predictedMs
      );
    },
  };
}
