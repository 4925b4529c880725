import {isBelowMinShare, type ClassState} from './class_state.js';
import {fillSlots, startCooldownBelow} from './fill_slots.js';
import type {Attempt} from './attempt.js';
import {createAttempt, end, wasOvertaken} from './attempt_lifecycle.js';
import {classOf, type SchedulerState} from './scheduler_state.js';
import type {SchedulerRefusal} from './scheduler_types.js';
import {latestStartMs, predictQueuedWaitMs} from './wait_budget.js';

/** Shortest time to retry that callers can be told: `Retry-After` is in whole seconds. */
export const MIN_RETRY_AFTER_MS = 1_000;

/** Refuses an attempt. A running one keeps its slot until its end is reported. */
export function refuse(
  state: SchedulerState,
  attempt: Attempt,
  code: SchedulerRefusal,
): void {
  const {attemptId} = attempt.request;
  const isRunning = attempt.stage === 'running';
  if (isRunning) attempt.isRefused = true;
  else end(state, attempt);
  state.commands.push({
    kind: 'refuse',
    attemptId,
    code: isRunning || attempt.wasPreempted ? 'preempted' : code,
    retryAfterMs: retryAfterOf(state, attempt),
  });
}

/**
 * Refuses an attempt that cannot meet its target. Waiting attempts of lower
 * tiers are refused first; if one of them may not be refused, this one waits on.
 */
export function refuseLate(state: SchedulerState, attempt: Attempt): void {
  if (wasOvertaken(state, attempt)) return;
  const {tier} = classOf(state, attempt).policy;
  if (!refuseLowerTiers(state, tier)) return fillSlots(state);
  startCooldownBelow(state, tier);
  refuse(state, attempt, 'overloaded');
}

/** Refuses attempts whose latest start has passed, or makes them start next. */
export function handleDueDeadlines(state: SchedulerState): void {
  const {deadlines} = state;
  for (;;) {
    const deadline = deadlines.peek();
    if (!deadline || deadline.atMs > state.nowMs) return;
    deadlines.pop();
    const {attempt, atMs} = deadline;
    // An attempt that was preempted and queued again has a later deadline.
    if (attempt.stage !== 'queued' || attempt.latestStartMs !== atMs) continue;
    if (wasOvertaken(state, attempt)) {
      state.overdue.add(attempt);
      fillSlots(state);
    } else {
      refuseLate(state, attempt);
    }
  }
}

/**
 * Refuses the waiting attempts of lower tiers, lowest tier first. Those that may
 * not be refused become overdue. Returns whether all were refused.
 */
function refuseLowerTiers(state: SchedulerState, tier: number): boolean {
  let isAllRefused = true;
  for (const requestClass of state.classes.toReversed()) {
    if (requestClass.policy.tier <= tier) return isAllRefused;
    refuseStopping(state, requestClass);
    for (const attempt of requestClass.queue.values()) {
      if (canRefuse(state, attempt, requestClass)) {
        refuse(state, attempt, 'overloaded');
      } else {
        state.overdue.add(attempt);
        isAllRefused = false;
      }
    }
  }
  return isAllRefused;
}

/** Refuses attempts of a class that are stopping; they would only be queued again. */
function refuseStopping(state: SchedulerState, requestClass: ClassState): void {
  if (state.stopping === 0) return;
  for (const attempt of state.running) {
    if (classOf(state, attempt) !== requestClass) continue;
    if (!attempt.isStopping || attempt.isRefused) continue;
    refuse(state, attempt, 'preempted');
  }
}

function canRefuse(
  state: SchedulerState,
  attempt: Attempt,
  requestClass: ClassState,
): boolean {
  if (wasOvertaken(state, attempt)) return false;
  const isNext = requestClass.queue.peek() === attempt;
  return !(isNext && isBelowMinShare(requestClass, state.capacity));
}

/**
 * Returns the time until a new request of the same kind is expected to be admitted:
 * until the work that waits has shrunk to what can be done before its latest start.
 */
function retryAfterOf(state: SchedulerState, {request}: Attempt): number {
  const requestClass = state.classesByName.get(request.requestClass)!;
  const renewed = createAttempt(
    state,
    {...request, waitBudgetMs: undefined, answerBudgetMs: undefined},
    requestClass,
  );
  const waitMs = predictQueuedWaitMs(state, renewed, 'end');
  const slackMs = latestStartMs(state, renewed) - state.nowMs;
  const excessMs = requestClass.waitError.boundMs(waitMs) - slackMs;
  return Math.max(MIN_RETRY_AFTER_MS, excessMs);
}
