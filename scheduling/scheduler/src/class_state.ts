import {
  type MovingAverage,
  type PredictionError,
  createMovingAverage,
  createPredictionError,
} from '@sardinestile/prediction';
import {createFairQueue, type FairQueue} from './fair_queue.js';
import type {ClassPolicy} from './scheduler_types.js';

/** Weight of the newest sample in the moving averages of a class. */
const NEWEST_SAMPLE_WEIGHT = 0.1;

/**
 * Limit of the share balance, in milliseconds of the minimum share. A class can
 * make up for at most this much missed service, or be this far ahead.
 */
const MAX_SHARE_BALANCE_MS = 10_000;

/** State of one request class at one upstream. */
export interface ClassState {
  policy: ClassPolicy;
  /** Waiting attempts of the class. */
  queue: FairQueue;
  running: number;
  /**
   * Share balance: slot-milliseconds that the class is behind its minimum
   * share; negative when it is ahead.
   */
  owedPlaceMs: number;
  /** Sequence number of the last start in a lower tier; 0 for none. */
  overtakenSequence: number;
  /** End of the time in which the class may not exceed its minimum share. */
  cooldownUntilMs: number;
  /** Time from the start to the end of an attempt. */
  serviceTimeMs: MovingAverage;
  /** Output tokens of a complete attempt. */
  outputTokens: MovingAverage;
  /** Time from the start to the first token. */
  startToFirstTokenMs: MovingAverage;
  /** Measured error of the predicted times to the first token of long prompts. */
  prefillError: PredictionError;
  /** Measured error of the predicted waits. */
  waitError: PredictionError;
}

/** Creates the state of a class without attempts. */
export function createClassState(
  policy: ClassPolicy,
  weightOf: (organisation: string) => number,
): ClassState {
  return {
    policy,
    queue: createFairQueue(weightOf),
    running: 0,
    owedPlaceMs: 0,
    overtakenSequence: 0,
    cooldownUntilMs: 0,
    serviceTimeMs: createMovingAverage(NEWEST_SAMPLE_WEIGHT),
    outputTokens: createMovingAverage(NEWEST_SAMPLE_WEIGHT),
    startToFirstTokenMs: createMovingAverage(NEWEST_SAMPLE_WEIGHT),
    prefillError: createPredictionError(),
    waitError: createPredictionError(),
  };
}

/**
 * Updates the share balance for a period: adds the guaranteed slots and
 * subtracts the used ones. A class without demand has no balance.
 */
export function updateShareBalance(
  state: ClassState,
  capacity: number,
  elapsedMs: number,
): void {
  const guaranteedSlots = guaranteedSlotsOf(state, capacity);
  const hasDemand = state.queue.size > 0 || state.running > 0;
  if (!hasDemand) {
    state.owedPlaceMs = 0;
    return;
  }
  const limit = Math.max(1, guaranteedSlots) * MAX_SHARE_BALANCE_MS;
  const balance =
    state.owedPlaceMs + (guaranteedSlots - state.running) * elapsedMs;
  state.owedPlaceMs = Math.min(limit, Math.max(-limit, balance));
}

/** Average number of slots that the class is guaranteed. */
export function guaranteedSlotsOf(state: ClassState, capacity: number): number {
  return state.policy.minShare * capacity;
}

/** Whether the class has waiting attempts and is below its minimum share. */
export function isBelowMinShare(state: ClassState, capacity: number): boolean {
  return (
    state.queue.size > 0 &&
    state.owedPlaceMs >= 0 &&
    state.running < guaranteedSlotsOf(state, capacity)
  );
}
