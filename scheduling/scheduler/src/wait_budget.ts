import {guaranteedSlotsOf} from './class_state.js';
import type {Attempt} from './attempt.js';
import {prefillTokensOf} from './prefill_estimator.js';
import {classOf, type SchedulerState} from './scheduler_state.js';
import type {QueuePosition} from './fair_queue.js';
import {boundOf} from '@sardinestile/prediction';
import {predictServiceTimeMs, remainingServiceBoundMs} from './service_time.js';
import {predictWaitMs} from './wait_predictor.js';

/** Prefill time that may be pending at the upstream when another request starts. */
const MAX_PREFILL_BACKLOG_MS = 500;

/** Predicts how long an attempt would wait for its start if it was queued now. */
export function predictQueuedWaitMs(
  state: SchedulerState,
  {request}: Attempt,
  position: QueuePosition,
): number {
  const requestClass = state.classesByName.get(request.requestClass)!;
  const waitMs = predictWaitMs({
    classes: state.classes,
    target: requestClass,
    organisation: request.organisation,
    position,
    capacity: state.capacity,
    freeSlots: state.capacity - state.running.size,
    prefillBacklogTokens: prefillBacklogTokens(state, requestClass.policy.tier),
    prefillMsPerToken: state.prefill.msPerToken,
    serviceTimeMsOf: other => predictServiceTimeMs(state, other),
  });
  const isHeldBack =
    requestClass.running >= guaranteedSlotsOf(requestClass, state.capacity);
  const cooldownMs = requestClass.cooldownUntilMs - state.nowMs;
  return isHeldBack ? Math.max(waitMs, cooldownMs) : waitMs;
}

/** Whether the prefill backlog allows another prompt of this tier to start. */
export function hasPrefillCapacity(
  state: SchedulerState,
  tier: number,
): boolean {
  const backlogMs =
    prefillBacklogTokens(state, tier) * state.prefill.msPerToken;
  return backlogMs < MAX_PREFILL_BACKLOG_MS;
}

/** Predicts the time to the first token of an attempt that starts now. */
export function predictPrefillMs(
  state: SchedulerState,
  attempt: Attempt,
): number {
  const {tier} = classOf(state, attempt).policy;
  const tokens =
    prefillBacklogTokens(state, tier) + prefillTokensOf(attempt.request);
  return tokens * state.prefill.msPerToken;
}

/**
 * Returns the latest start with which an attempt will probably still meet its targets,
 * by the work that is left of it and the measured times of its class.
 */
export function latestStartMs(state: SchedulerState, attempt: Attempt): number {
  const firstTokenStartMs = attempt.hasFirstToken
    ? Infinity
    : attempt.firstTokenDueMs - firstTokenBoundMs(state, attempt);
  const answerStartMs =
    attempt.answerDueMs - remainingServiceBoundMs(state, attempt);
  return Math.max(state.nowMs, Math.min(firstTokenStartMs, answerStartMs));
}

/** Returns the time from the start to the first token that 95 in 100 attempts stay below. */
function firstTokenBoundMs(state: SchedulerState, {request}: Attempt): number {
  const requestClass = state.classesByName.get(request.requestClass)!;
  const {startToFirstTokenMs, prefillError} = requestClass;
  const ownPrefillMs = prefillTokensOf(request) * state.prefill.msPerToken;
  // A long prompt may start behind this much pending prefill. Short ones are
  // processed beside it.
  const backlogMs = ownPrefillMs > 0 ? MAX_PREFILL_BACKLOG_MS : 0;
  return Math.max(
    boundOf(startToFirstTokenMs),
    prefillError.boundMs(ownPrefillMs + backlogMs),
  );
}

/** Sums the prompt tokens of this and higher tiers that the upstream has yet to process. */
function prefillBacklogTokens(state: SchedulerState, tier: number): number {
  let tokens = 0;
  for (const attempt of state.prefilling) {
    if (classOf(state, attempt).policy.tier > tier) continue;
    tokens += prefillTokensOf(attempt.request);
  }
  return tokens;
}
