import type {ClassState} from './class_state.js';
import {prefillTokensOf} from './prefill_estimator.js';
import {classOf, type SchedulerState} from './scheduler_state.js';
import type {AttemptRequest} from './scheduler_types.js';
import {predictWaitMs} from './wait_predictor.js';

/** Prefill time that may be pending at the upstream when another request starts. */
const MAX_PREFILL_BACKLOG_MS = 500;

/** Predicts how long a new request of an organisation would wait for its start. */
export function predictNewRequestWaitMs(
  state: SchedulerState,
  requestClass: ClassState,
  organisation: string,
): number {
  return predictWaitMs({
    classes: state.classes,
    target: requestClass,
    organisation,
    capacity: state.capacity,
    freeSlots: state.capacity - state.running.size,
    prefillBacklogTokens: prefillBacklogTokens(state, requestClass.policy.tier),
    prefillMsPerToken: state.prefill.msPerToken,
  });
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

/** Returns the longest wait with which a request still meets its targets. */
export function waitBudgetMs(
  state: SchedulerState,
  request: AttemptRequest,
  {policy, startToFirstTokenMs, serviceTimeMs}: ClassState,
): number {
  const backlogMs = policy.tier > 0 ? MAX_PREFILL_BACKLOG_MS : 0;
  const ownPrefillMs = prefillTokensOf(request) * state.prefill.msPerToken;
  const expectedFirstTokenMs = Math.max(
    startToFirstTokenMs.value ?? 0,
    ownPrefillMs + backlogMs,
  );
  const firstTokenMs = request.waitBudgetMs ?? policy.firstTokenMs ?? Infinity;
  const answerMs = policy.answerMs ?? Infinity;
  const firstTokenBudgetMs = firstTokenMs - expectedFirstTokenMs;
  const answerBudgetMs = answerMs - (serviceTimeMs.value ?? 0);
  return Math.max(0, Math.min(firstTokenBudgetMs, answerBudgetMs));
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
