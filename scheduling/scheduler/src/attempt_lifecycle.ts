import type {ClassState} from './class_state.js';
import type {Attempt} from './attempt.js';
import {prefillTokensOf} from './prefill_estimator.js';
import {classOf, type SchedulerState} from './scheduler_state.js';
import type {AttemptRequest} from './scheduler_types.js';
import {
  latestStartMs,
  predictPrefillMs,
  predictQueuedWaitMs,
} from './wait_budget.js';

/** Creates the attempt for a request that has just arrived. */
export function createAttempt(
  state: SchedulerState,
  request: AttemptRequest,
  {policy}: ClassState,
): Attempt {
  const {nowMs} = state;
  const firstTokenMs = request.waitBudgetMs ?? policy.firstTokenMs ?? Infinity;
  const answerMs = request.answerBudgetMs ?? policy.answerMs ?? Infinity;
  return {
    request,
    stage: 'queued',
    arrivalSequence: state.startSequence,
    queuedAtMs: nowMs,
    predictedWaitMs: 0,
    startedAtMs: 0,
    predictedPrefillMs: 0,
    latestStartMs: Infinity,
    firstTokenDueMs: nowMs + firstTokenMs,
    answerDueMs: nowMs + answerMs,
    wasPreempted: false,
    isStopping: false,
    isRefused: false,
    hasFirstToken: false,
    lastTokenAtMs: undefined,
    servedTokens: 0,
  };
}

/** Adds an attempt to its organisation's queue: a preempted one at the front. */
export function enqueue(state: SchedulerState, attempt: Attempt): void {
  const position = attempt.wasPreempted ? 'front' : 'end';
  attempt.stage = 'queued';
  attempt.arrivalSequence = state.startSequence;
  attempt.queuedAtMs = state.nowMs;
  attempt.predictedWaitMs = predictQueuedWaitMs(state, attempt, position);
  attempt.latestStartMs = latestStartMs(state, attempt);
  state.attempts.set(attempt.request.attemptId, attempt);
  classOf(state, attempt).queue.push(attempt, position);
  trackDeadline(state, attempt);
}

/** Takes an attempt that has stopped for a higher tier out of its slot. */
export function leaveSlot(state: SchedulerState, attempt: Attempt): void {
  removeFromRunning(state, attempt);
  attempt.isStopping = false;
  attempt.wasPreempted = true;
}

/** Starts a waiting attempt in a free slot. */
export function start(state: SchedulerState, attempt: Attempt): void {
  const {request} = attempt;
  const requestClass = classOf(state, attempt);
  const waitedMs = state.nowMs - attempt.queuedAtMs;
  requestClass.waitError.add(attempt.predictedWaitMs, waitedMs);
  requestClass.queue.remove(attempt);
  state.overdue.delete(attempt);
  markOvertaken(state, requestClass);
  requestClass.running++;
  state.running.add(attempt);
  if (prefillTokensOf(request) > 0) {
    attempt.predictedPrefillMs = predictPrefillMs(state, attempt);
    state.prefilling.add(attempt);
  }
  attempt.stage = 'running';
  attempt.startedAtMs = state.nowMs;
  attempt.lastTokenAtMs = undefined;
  attempt.isStopping = false;
  requestClass.queue.charge(request.organisation, request.promptTokens);
  state.commands.push({kind: 'offer', attemptId: request.attemptId});
}

/** Removes an attempt from the scheduler. */
export function end(state: SchedulerState, attempt: Attempt): void {
  if (attempt.stage === 'queued') removeFromQueue(state, attempt);
  if (attempt.stage === 'running') removeFromRunning(state, attempt);
  state.overdue.delete(attempt);
  state.attempts.delete(attempt.request.attemptId);
  attempt.stage = 'ended';
}

/** Whether an attempt of a lower tier started while this one waited. */
export function wasOvertaken(state: SchedulerState, attempt: Attempt): boolean {
  return classOf(state, attempt).overtakenSequence > attempt.arrivalSequence;
}

function removeFromQueue(state: SchedulerState, attempt: Attempt): void {
  const {queue, waitError} = classOf(state, attempt);
  const waitedMs = state.nowMs - attempt.queuedAtMs;
  waitError.addUnfinished(attempt.predictedWaitMs, waitedMs);
  queue.remove(attempt);
}

function removeFromRunning(state: SchedulerState, attempt: Attempt): void {
  classOf(state, attempt).running--;
  state.running.delete(attempt);
  state.prefilling.delete(attempt);
  if (attempt.isStopping) state.stopping--;
}

/** Records in all higher tiers that an attempt of this class started. */
function markOvertaken(state: SchedulerState, started: ClassState): void {
  state.startSequence++;
  for (const requestClass of state.classes) {
    if (requestClass.policy.tier >= started.policy.tier) return;
    requestClass.overtakenSequence = state.startSequence;
  }
}

function trackDeadline(state: SchedulerState, attempt: Attempt): void {
  const {latestStartMs: atMs} = attempt;
  if (Number.isFinite(atMs)) state.deadlines.push({attempt, atMs});
}
