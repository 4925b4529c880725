import type {ClassState} from './class_state.js';

/** Options for predictWaitMs. */
export interface WaitPredictionOptions {
  classes: readonly ClassState[];
  target: ClassState;
  organisation: string;
  capacity: number;
  freeSlots: number;
  /** Prompt tokens of running attempts that the upstream has yet to process. */
  prefillBacklogTokens: number;
  prefillMsPerToken: number;
}

/** Work that is scheduled before a new request. */
interface WorkAhead {
  requests: number;
  /** Service time of all these requests. */
  serviceTimeMs: number;
  prefillTokens: number;
  /** Part of the slots that is guaranteed to lower tiers, 0 to 1. */
  lowerShare: number;
}

/**
 * Predicts the time until a new request would start, in milliseconds.
 *
 * Assumes that waiting work of the same and higher tiers runs first and that
 * lower tiers use only their minimum shares. The bottleneck is either the slots
 * or the prefill, so that the longer of the two waits counts.
 */
export function predictWaitMs(options: WaitPredictionOptions): number {
  const ahead = sumWorkAhead(options);
  const pendingTokens = options.prefillBacklogTokens + ahead.prefillTokens;
  const prefillMs = pendingTokens * options.prefillMsPerToken;
  if (ahead.requests < options.freeSlots) return prefillMs;
  const {capacity} = options;
  const nextFreeSlotMs = meanServiceTimeMs(options.classes) / capacity;
  const usableSlots = Math.max(1, capacity * (1 - ahead.lowerShare));
  return Math.max(
    prefillMs,
    nextFreeSlotMs + ahead.serviceTimeMs / usableSlots,
  );
}

function sumWorkAhead(options: WaitPredictionOptions): WorkAhead {
  const {classes, target, organisation} = options;
  const ahead = {
    requests: 0,
    serviceTimeMs: 0,
    prefillTokens: 0,
    lowerShare: 0,
  };
  for (const state of classes) {
    if (state.policy.tier > target.policy.tier) {
      ahead.lowerShare += hasDemand(state) ? state.policy.minShare : 0;
      continue;
    }
    const {size, prefillTokens} = state.queue;
    if (size === 0) continue;
    const isTarget = state === target;
    const count = isTarget ? state.queue.countAhead(organisation) : size;
    ahead.requests += count;
    ahead.serviceTimeMs += count * (state.serviceTimeMs.value ?? 0);
    ahead.prefillTokens += prefillTokens * (count / size);
  }
  return ahead;
}

function hasDemand(state: ClassState): boolean {
  return state.queue.size > 0 || state.running > 0;
}

/** Returns the mean service time of the running attempts. */
function meanServiceTimeMs(classes: readonly ClassState[]): number {
  let running = 0;
  let sumMs = 0;
  for (const state of classes) {
    running += state.running;
    sumMs += state.running * (state.serviceTimeMs.value ?? 0);
  }
  return running > 0 ? sumMs / running : 0;
}
