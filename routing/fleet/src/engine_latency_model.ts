/** Factor applied to the weight of older samples with each new one. */
const SAMPLE_DECAY_FACTOR = 0.97;

/** Prefill speed assumed before there are samples. */
const INITIAL_PREFILL_TOKENS_PER_MS = 40;

/**
 * Time to the first event beyond the prefill, assumed before there are samples.
 */
const INITIAL_OVERHEAD_MS = 20;

/** Weight of the initial values, as a number of samples. */
const INITIAL_WEIGHT_SAMPLES = 4;

/** Minimum and maximum plausible prefill time per token. */
const MIN_MS_PER_TOKEN = 0.002;
const MAX_MS_PER_TOKEN = 1;

/** Maximum plausible time to the first event beyond the prefill. */
const MAX_OVERHEAD_MS = 300;

/** Estimates the time to the first event on the engines of a service. */
export interface EngineLatencyModel {
  /** Returns the expected prefill time of this many tokens. */
  estimatePrefillMs(tokens: number): number;
  /** Time to the first event beyond the prefill. */
  readonly overheadMs: number;
  /**
   * Adds a sample; valid only for a request that did not wait for other
   * prefills.
   */
  addSample(tokens: number, firstEventMs: number): void;
}

/**
 * Creates a model that fits the time over the tokens by weighted linear
 * regression.
 */
export function createEngineLatencyModel(): EngineLatencyModel {
  let weight = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXx = 0;
  let sumXy = 0;
  let msPerToken = 1 / INITIAL_PREFILL_TOKENS_PER_MS;
  let overheadMs = INITIAL_OVERHEAD_MS;

  const addSample = (x: number, y: number, sampleWeight: number) => {
    weight += sampleWeight;
    sumX += sampleWeight * x;
    sumY += sampleWeight * y;
    sumXx += sampleWeight * x * x;
    sumXy += sampleWeight * x * y;
  };
  // Two points define the initial line of the regression.
  const addInitialPoint = (tokens: number) =>
    addSample(
      tokens,
      INITIAL_OVERHEAD_MS + tokens / INITIAL_PREFILL_TOKENS_PER_MS,
      INITIAL_WEIGHT_SAMPLES / 2,
    );
  addInitialPoint(0);
  addInitialPoint(6_000);

  return {
    estimatePrefillMs: tokens => tokens * msPerToken,
    get overheadMs() {
      return overheadMs;
    },
    addSample(tokens, firstEventMs) {
      weight *= SAMPLE_DECAY_FACTOR;
      sumX *= SAMPLE_DECAY_FACTOR;
      sumY *= SAMPLE_DECAY_FACTOR;
      sumXx *= SAMPLE_DECAY_FACTOR;
      sumXy *= SAMPLE_DECAY_FACTOR;
      addSample(tokens, firstEventMs, 1);
      const spread = weight * sumXx - sumX * sumX;
      if (spread <= 0) return;
      const slope = (weight * sumXy - sumX * sumY) / spread;
      msPerToken = Math.min(
        MAX_MS_PER_TOKEN,
        Math.max(MIN_MS_PER_TOKEN, slope),
      );
      const intercept = (sumY - msPerToken * sumX) / weight;
      overheadMs = Math.min(MAX_OVERHEAD_MS, Math.max(0, intercept));
    },
  };
}
