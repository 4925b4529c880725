/** Share by which older samples lose weight with each new one. */
const DECAY = 0.97;

/** Reading speed that is assumed before any sample, in tokens per millisecond. */
const INITIAL_TOKENS_PER_MS = 40;

/** Time to the first event beside the reading that is assumed before any sample, in milliseconds. */
const INITIAL_BASE_MS = 20;

/** Weight of the initial assumption, in samples. */
const INITIAL_WEIGHT = 4;

/** Bounds of plausible reading times, in milliseconds per token. */
const MIN_MS_PER_TOKEN = 0.002;
const MAX_MS_PER_TOKEN = 1;

/** Longest plausible base, in milliseconds. */
const MAX_BASE_MS = 300;

/** Learns how long an engine of a service takes to the first event. */
export interface EngineModel {
  /** Time to read this many tokens. */
  readMs(tokens: number): number;
  /** Time to the first event beside reading. */
  readonly baseMs: number;
  /** Takes a sample of a request that found the engine idle. */
  learn(tokens: number, firstEventMs: number): void;
}

/** Makes a model by weighted linear regression of time over tokens. */
export function createEngineModel(): EngineModel {
  let weight = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXx = 0;
  let sumXy = 0;
  let msPerToken = 1 / INITIAL_TOKENS_PER_MS;
  let baseMs = INITIAL_BASE_MS;

  const take = (x: number, y: number, sampleWeight: number) => {
    weight += sampleWeight;
    sumX += sampleWeight * x;
    sumY += sampleWeight * y;
    sumXx += sampleWeight * x * x;
    sumXy += sampleWeight * x * y;
  };
  // Two points that span the initial line.
  const assume = (tokens: number) =>
    take(
      tokens,
      INITIAL_BASE_MS + tokens / INITIAL_TOKENS_PER_MS,
      INITIAL_WEIGHT / 2,
    );
  assume(0);
  assume(6_000);

  return {
    readMs: tokens => tokens * msPerToken,
    get baseMs() {
      return baseMs;
    },
    learn(tokens, firstEventMs) {
      weight *= DECAY;
      sumX *= DECAY;
      sumY *= DECAY;
      sumXx *= DECAY;
      sumXy *= DECAY;
      take(tokens, firstEventMs, 1);
      const spread = weight * sumXx - sumX * sumX;
      if (spread <= 0) return;
      const slope = (weight * sumXy - sumX * sumY) / spread;
      msPerToken = Math.min(
        MAX_MS_PER_TOKEN,
        Math.max(MIN_MS_PER_TOKEN, slope),
      );
      const intercept = (sumY - msPerToken * sumX) / weight;
      baseMs = Math.min(MAX_BASE_MS, Math.max(0, intercept));
    },
  };
}
