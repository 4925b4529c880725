import {LRUCache} from 'lru-cache';

/** Speeds and sizes of a simulated engine. */
export interface EngineModelOptions {
  /** Maximum number of sequences in a batch. */
  maxBatch: number;
  /** Fixed duration of a step, in milliseconds. */
  stepBaseMs: number;
  /** Time that each decoding sequence adds to a step, in milliseconds. */
  stepPerSequenceMs: number;
  /** Time that each prefilled prompt token adds to a step, in milliseconds. */
  prefillMsPerToken: number;
  /** Maximum number of prompt tokens that one step prefills. */
  prefillChunkTokens: number;
  /** Capacity of the prefix cache in prompt tokens. */
  prefixCacheTokens: number;
}

/** Default speeds and sizes of a stand-in engine. */
export const DEFAULT_ENGINE_MODEL: EngineModelOptions = {
  maxBatch: 64,
  stepBaseMs: 12,
  stepPerSequenceMs: 1,
  prefillMsPerToken: 0.05,
  prefillChunkTokens: 256,
  prefixCacheTokens: 200_000,
};

/** A request to a simulated engine. */
export interface EngineSequence {
  id: string;
  promptTokens: number;
  /** Identifies a prefix shared with other prompts; empty for none. */
  prefixKey: string;
  /** Number of prompt tokens in the shared prefix. */
  prefixTokens: number;
  outputTokens: number;
  /** Lower values are batched first. */
  priority: number;
}

/** Result of one step. */
export interface EngineStep {
  /** Ids of the sequences that produced a token. */
  produced: string[];
  /** Ids of the sequences in `produced` that are complete. */
  finished: string[];
}

/**
 * Simulates an engine with continuous batching. The caller supplies the time,
 * so the model runs in real or virtual time.
 */
export interface EngineModel {
  submit(sequence: EngineSequence, nowMs: number): void;
  cancel(id: string): void;
  /** Returns the end time of the current step; undefined if the engine is idle. */
  stepEndMs(): number | undefined;
  /** Ends the current step and starts the next. */
  endStep(nowMs: number): EngineStep;
  /** Multiplies the duration of all later steps. */
  setSlowdown(factor: number): void;
  readonly running: number;
  readonly waiting: number;
}

interface RunningSequence {
  sequence: EngineSequence;
  prefillTokensLeft: number;
  producedTokens: number;
}

/** Creates an idle engine. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
  const waiting: EngineSequence[] = [];
  const batch = new Map<string, RunningSequence>();
  const prefixCache = new LRUCache<string, number>({
    maxSize: options.prefixCacheTokens,
    sizeCalculation: tokens => Math.max(1, tokens),
  });
  let stepEndMs: number | undefined;
  let slowdown = 1;
  let decodingIds = new Set<string>();

  const fillBatch = () => {
    waiting.sort((a, b) => a.priority - b.priority);
    while (waiting.length > 0 && batch.size < options.maxBatch) {
      const sequence = waiting.shift()!;
      const cachedPrefixTokens = prefixCache.get(sequence.prefixKey) ?? 0;
      const reusedTokens = Math.min(cachedPrefixTokens, sequence.prefixTokens);
      const prefillTokensLeft = Math.max(
        1,
        sequence.promptTokens - reusedTokens,
      );
      batch.set(sequence.id, {
        sequence,
        prefillTokensLeft,
        producedTokens: 0,
      });
    }
  };
  const prefillBatch = (): number => {
    let tokensLeft = options.prefillChunkTokens;
    const pending = [...batch.values()]
      .filter(entry => entry.prefillTokensLeft > 0)
      .sort((a, b) => a.sequence.priority - b.sequence.priority);
    for (const entry of pending) {
      const prefilled = Math.min(tokensLeft, entry.prefillTokensLeft);
      entry.prefillTokensLeft -= prefilled;
      tokensLeft -= prefilled;
      if (entry.prefillTokensLeft === 0) cachePrefix(entry.sequence);
      if (tokensLeft === 0) break;
    }
    return options.prefillChunkTokens - tokensLeft;
  };
  const cachePrefix = (sequence: EngineSequence) => {
    if (!sequence.prefixKey) return;
    prefixCache.set(sequence.prefixKey, sequence.prefixTokens);
  };
  const beginStep = (nowMs: number) => {
    fillBatch();
    if (batch.size === 0) {
      stepEndMs = undefined;
      return;
    }
    const prefilledTokens = prefillBatch();
    decodingIds = new Set(
      [...batch.values()]
        .filter(entry => entry.prefillTokensLeft === 0)
        .map(entry => entry.sequence.id),
    );
    const durationMs =
      options.stepBaseMs +
      options.stepPerSequenceMs * decodingIds.size +
      options.prefillMsPerToken * prefilledTokens;
    stepEndMs = nowMs + durationMs * slowdown;
  };
  return {
    submit(sequence, nowMs) {
      waiting.push(sequence);
      if (stepEndMs === undefined) beginStep(nowMs);
    },
    cancel(id) {
      batch.delete(id);
      const index = waiting.findIndex(sequence => sequence.id === id);
      if (index >= 0) waiting.splice(index, 1);
    },
    stepEndMs: () => stepEndMs,
    endStep(nowMs) {
      const step: EngineStep = {produced: [], finished: []};
      for (const id of decodingIds) {
        const entry = batch.get(id);
        if (!entry) continue;
        entry.producedTokens++;
        step.produced.push(id);
        if (entry.producedTokens < entry.sequence.outputTokens) continue;
        step.finished.push(id);
        batch.delete(id);
      }
      beginStep(nowMs);
      return step;
    },
    setSlowdown(factor) {
      slowdown = factor;
    },
    get running() {
      return batch.size;
    },
    get waiting() {
      return waiting.length;
    },
  };
}
