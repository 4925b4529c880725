import type {ClassState} from './class_state.js';
import type {QueuePosition} from './fair_queue.js';

/** Options for predictWaitMs. */
export interface WaitPredictionOptions {
  classes: readonly ClassState[];
  target: ClassState;
  organisation: string;
  /** Where the attempt would be added to its organisation's queue. */
  position: QueuePosition;
  capacity: number;
  freeSlots: number;
  /** Prompt tokens of running attempts that the upstream has yet to process. */
  prefillBacklogTokens: number;
  prefillMsPerToken: number;
  /** Predicts the time from the start to the end of an attempt of a class. */
  serviceTimeMsOf: (requestClass: ClassState) => number;
}

/** Work that is scheduled before the attempt. */
interface WorkAhead {
  requests: number;
  /** Service time of all these requests. */
  serviceTimeMs: number;
  prefillTokens: number;
  /** Part of the slots that is guaranteed to lower tiers, 0 to 1. */
  lowerShare: number;
}

/**
 * Predicts the time until an attempt that is queued now would start, in milliseconds.
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
  const nextFreeSlotMs = meanServiceTimeMs(options) / capacity;
  const usableSlots = Math.max(1, capacity * (1 - ahead.lowerShare));
  return Math.max(
    prefillMs,
    nextFreeSlotMs + ahead.serviceTimeMs / usableSlots,
  );
}

function sumWorkAhead(options: WaitPredictionOptions): WorkAhead {
  const {classes, target, organisation, position} = options;
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
    const {queue} = state;
    if (queue.size === 0) continue;
    const {attempts, prefillTokens} =
      state === target
        ? queue.workAhead(organisation, position)
        : {attempts: queue.size, prefillTokens: queue.prefillTokens};
    ahead.requests += attempts;
    ahead.serviceTimeMs += attempts * options.serviceTimeMsOf(state);
    ahead.prefillTokens += prefillTokens;
  }
  return ahead;
}

function hasDemand(state: ClassState): boolean {
  return state.queue.size > 0 || state.running > 0;
}

/** Returns the mean service time of the running attempts. */
function meanServiceTimeMs({
  classes,
  serviceTimeMsOf,
}: WaitPredictionOptions): number {
  let running = 0;
  let sumMs = 0;
  for (const state of classes) {
    running += state.running;
    sumMs += state.running * serviceTimeMsOf(state);
  }
  return running > 0 ? sumMs / running : 0;
}
