import {guaranteedSlotsOf} from './class_state.js';
import {startCooldownBelow} from './fill_slots.js';
import type {Attempt} from './attempt.js';
import {classOf, type SchedulerState} from './scheduler_state.js';

/**
 * Preempts a running attempt of a lower tier in favour of this one. Prefers the
 * lowest tier, then the organisation that was served most, then the attempt
 * with the fewest served tokens. Returns whether one was preempted.
 */
export function preemptFor(state: SchedulerState, attempt: Attempt): boolean {
  const {tier} = classOf(state, attempt).policy;
  let victim: Attempt | undefined;
  for (const candidate of state.running) {
    if (!canPreempt(state, candidate, tier)) continue;
    if (!victim || comparePreemption(state, candidate, victim) < 0) {
      victim = candidate;
    }
  }
  if (!victim) return false;
  victim.isStopping = true;
  state.stopping++;
  startCooldownBelow(state, tier);
  const {attemptId} = victim.request;
  state.commands.push({kind: 'preempt', attemptId});
  return true;
}

function canPreempt(
  state: SchedulerState,
  candidate: Attempt,
  tier: number,
): boolean {
  const requestClass = classOf(state, candidate);
  const guaranteedSlots = guaranteedSlotsOf(requestClass, state.capacity);
  return (
    requestClass.policy.tier > tier &&
    candidate.request.isPreemptible &&
    !candidate.isStopping &&
    requestClass.running - 1 >= guaranteedSlots
  );
}

/** Compares two candidates; negative if `a` should be preempted before `b`. */
function comparePreemption(
  state: SchedulerState,
  a: Attempt,
  b: Attempt,
): number {
  return (
    classOf(state, b).policy.tier - classOf(state, a).policy.tier ||
    counterOf(state, b) - counterOf(state, a) ||
    a.servedTokens - b.servedTokens
  );
}

function counterOf(state: SchedulerState, attempt: Attempt): number {
  const {queue} = classOf(state, attempt);
  return queue.counterOf(attempt.request.organisation);
}
