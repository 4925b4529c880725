import type {Attempt} from './attempt.js';
import type {ClassState} from './class_state.js';
import {boundOf} from '@sardinestile/prediction';
import {classOf, type SchedulerState} from './scheduler_state.js';

/**
 * Predicts the time from the start to the end of an attempt, in milliseconds; 0 before
 * the class has ended one. The time for a token follows the load of the upstream at
 * once, where averages of whole attempts would follow it only after they have ended.
 */
export function predictServiceTimeMs(
  {tokenIntervalMs}: Pick<SchedulerState, 'tokenIntervalMs'>,
  {serviceTimeMs, outputTokens, startToFirstTokenMs}: ClassState,
): number {
  const tokens = outputTokens.value ?? 0;
  if (tokens === 0 || tokenIntervalMs.value === undefined) {
    return serviceTimeMs.value ?? 0;
  }
  return (startToFirstTokenMs.value ?? 0) + tokens * tokenIntervalMs.value;
}

/**
 * Returns the time that 95 in 100 attempts with as many tokens served stay below until
 * their end, if they start or resume now. A resumed attempt has its prompt processed
 * again, but writes only the rest of its output.
 */
export function remainingServiceBoundMs(
  state: SchedulerState,
  attempt: Attempt,
): number {
  const {serviceTimeMs, outputTokens, startToFirstTokenMs} = classOf(
    state,
    attempt,
  );
  const {servedTokens} = attempt;
  const intervalMs = state.tokenIntervalMs.value;
  if (servedTokens === 0 || intervalMs === undefined) {
    return boundOf(serviceTimeMs);
  }
  // An output that is already longer than most goes on by their usual deviation.
  const remainingTokens = Math.max(
    outputTokens.deviation,
    boundOf(outputTokens) - servedTokens,
  );
  return boundOf(startToFirstTokenMs) + remainingTokens * intervalMs;
}
