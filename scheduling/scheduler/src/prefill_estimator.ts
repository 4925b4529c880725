import type {AttemptRequest} from './scheduler_types.js';

/** Prompts shorter than this take no noticeable prefill time. */
const LONG_PROMPT_TOKENS = 512;

/**
 * Prompt tokens that count towards the prefill backlog. Short prompts count as
 * 0, since an engine processes several of them in one step.
 */
export function prefillTokensOf({promptTokens}: AttemptRequest): number {
  return promptTokens < LONG_PROMPT_TOKENS ? 0 : promptTokens;
}

/** Factor by which each new sample reduces the weight of all older ones. */
const SAMPLE_DECAY = 0.98;

/**
 * Estimates the prefill speed of the upstream: the time in which it had long
 * prompts to process, divided by the prompt tokens that it processed.
 */
export interface PrefillEstimator {
  /** Prefill time per prompt token, in milliseconds; 0 before the first sample. */
  readonly msPerToken: number;
  /** Adds time in which the upstream was processing long prompts. */
  addBusyTime(elapsedMs: number): void;
  /** Adds the tokens of a prompt whose first token has arrived. */
  addTokens(tokens: number): void;
}

/** Creates an estimator without samples. */
export function createPrefillEstimator(): PrefillEstimator {
  let busyMs = 0;
  let processedTokens = 0;
  return {
    get msPerToken() {
      return processedTokens === 0 ? 0 : busyMs / processedTokens;
    },
    addBusyTime(elapsedMs) {
      busyMs += elapsedMs;
    },
    addTokens(tokens) {
      busyMs *= SAMPLE_DECAY;
      processedTokens = SAMPLE_DECAY * processedTokens + tokens;
    },
  };
}
