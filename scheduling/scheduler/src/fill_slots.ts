import {
  guaranteedSlotsOf,
  isBelowMinShare,
  type ClassState,
} from './class_state.js';
import type {Attempt} from './attempt.js';
import {start} from './attempt_lifecycle.js';
import type {SchedulerState} from './scheduler_state.js';
import {hasPrefillCapacity} from './wait_budget.js';

/**
 * Shortest and longest cooldown: the time after a preemption or an overload in
 * which lower tiers may not exceed their minimum shares.
 */
const MIN_COOLDOWN_MS = 2_000;
const MAX_COOLDOWN_MS = 10_000;

/** Starts waiting attempts until no slot is free for them. */
export function fillSlots(state: SchedulerState): void {
  if (state.isDraining) return;
  for (;;) {
    const attempt = pickNext(state);
    if (!attempt) return;
    start(state, attempt);
  }
}

/**
 * Restricts the classes below a tier to their minimum shares for a cooldown,
 * since attempts that they start now would soon be preempted. The cooldown
 * doubles if it begins again soon after the last one ended, and returns
 * to the minimum after a longer pause.
 */
export function startCooldownBelow(state: SchedulerState, tier: number): void {
  const sinceEndMs = state.nowMs - state.cooldownUntilMs;
  if (sinceEndMs >= state.cooldownMs) state.cooldownMs = MIN_COOLDOWN_MS;
  else if (sinceEndMs >= 0) {
    state.cooldownMs = Math.min(MAX_COOLDOWN_MS, 2 * state.cooldownMs);
  }
  state.cooldownUntilMs = state.nowMs + state.cooldownMs;
  for (const requestClass of state.classes) {
    if (requestClass.policy.tier <= tier) continue;
    requestClass.cooldownUntilMs = state.cooldownUntilMs;
  }
}

function pickNext(state: SchedulerState): Attempt | undefined {
  const {running, capacity, overcommitSlots} = state;
  if (running.size < capacity + overcommitSlots) {
    const belowShare = pickClassBelowMinShare(state)?.queue.peek();
    if (belowShare) return belowShare;
    const [overdue] = state.overdue;
    if (overdue) return overdue;
  }
  return running.size < capacity ? pickByTier(state) : undefined;
}

/** Returns the class that is furthest behind its minimum share. */
function pickClassBelowMinShare({
  classes,
  capacity,
}: SchedulerState): ClassState | undefined {
  let found: ClassState | undefined;
  for (const requestClass of classes) {
    if (!isBelowMinShare(requestClass, capacity)) continue;
    if (!found || requestClass.owedPlaceMs > found.owedPlaceMs) {
      found = requestClass;
    }
  }
  return found;
}

/**
 * Returns the attempt that has to start first, among the next attempts of the
 * classes in the highest tier that may start one.
 */
function pickByTier(state: SchedulerState): Attempt | undefined {
  let found: Attempt | undefined;
  let tier = Infinity;
  for (const requestClass of state.classes) {
    const {policy, queue} = requestClass;
    if (policy.tier > tier) break;
    const attempt = queue.peek();
    if (!attempt || !hasPrefillCapacity(state, policy.tier)) continue;
    if (isInCooldown(state, requestClass)) continue;
    tier = policy.tier;
    if (!found || attempt.latestStartMs < found.latestStartMs) found = attempt;
  }
  return found;
}

/** Whether a cooldown keeps the class from starting more than its minimum share. */
function isInCooldown(
  state: SchedulerState,
  requestClass: ClassState,
): boolean {
  return (
    state.nowMs < requestClass.cooldownUntilMs &&
    requestClass.running >= guaranteedSlotsOf(requestClass, state.capacity)
  );
}
