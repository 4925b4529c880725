import {duePlacesOf, isOwed, type ClassState} from './class_state.js';
import type {Place} from './place.js';
import {start} from './place_lifecycle.js';
import type {SchedulerState} from './scheduler_state.js';
import {hasPrefillRoom} from './wait_budget.js';

/** Shortest and longest time after a preemption in which lower tiers keep to their minimum shares. */
const MIN_HOLD_BACK_MS = 2_000;
const MAX_HOLD_BACK_MS = 10_000;

/** Starts waiting requests while there are places for them. */
export function fillPlaces(state: SchedulerState): void {
  if (state.isDraining) return;
  for (;;) {
    const place = pickNext(state);
    if (!place) return;
    start(state, place);
  }
}

/**
 * Keeps lower tiers to their minimum shares for a while, twice as long where
 * the last time was too short: what starts now would be preempted again.
 */
export function holdBackBelow(state: SchedulerState, tier: number): void {
  const sinceEndMs = state.nowMs - state.holdBackUntilMs;
  if (sinceEndMs >= state.holdBackMs) state.holdBackMs = MIN_HOLD_BACK_MS;
  else if (sinceEndMs >= 0) {
    state.holdBackMs = Math.min(MAX_HOLD_BACK_MS, 2 * state.holdBackMs);
  }
  state.holdBackUntilMs = state.nowMs + state.holdBackMs;
  for (const requestClass of state.classes) {
    if (requestClass.policy.tier <= tier) continue;
    requestClass.heldBackUntilMs = state.holdBackUntilMs;
  }
}

function pickNext(state: SchedulerState): Place | undefined {
  const {running, capacity, overcommitPlaces} = state;
  if (running.size < capacity + overcommitPlaces) {
    const owed = pickOwed(state)?.waiting.peek();
    if (owed) return owed;
    const [first] = state.overdue;
    if (first) return first;
  }
  return running.size < capacity ? pickByTier(state) : undefined;
}

/** The class that is furthest behind its minimum share. */
function pickOwed({classes, capacity}: SchedulerState): ClassState | undefined {
  let found: ClassState | undefined;
  for (const requestClass of classes) {
    if (!isOwed(requestClass, capacity)) continue;
    if (!found || requestClass.owedPlaceMs > found.owedPlaceMs) {
      found = requestClass;
    }
  }
  return found;
}

/** The request with the earliest latest start in the highest tier that may start. */
function pickByTier(state: SchedulerState): Place | undefined {
  let found: Place | undefined;
  let tier = Infinity;
  for (const requestClass of state.classes) {
    const {policy, waiting} = requestClass;
    if (policy.tier > tier) break;
    const place = waiting.peek();
    if (!place || !hasPrefillRoom(state, policy.tier)) continue;
    if (isHeldBack(state, requestClass)) continue;
    tier = policy.tier;
    if (!found || place.latestStartMs < found.latestStartMs) found = place;
  }
  return found;
}

/** Whether a start would soon be preempted again. */
function isHeldBack(state: SchedulerState, requestClass: ClassState): boolean {
  return (
    state.nowMs < requestClass.heldBackUntilMs &&
    requestClass.running >= duePlacesOf(requestClass, state.capacity)
  );
}
