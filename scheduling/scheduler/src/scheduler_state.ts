import {Heap} from 'heap-js';
import {
  updateShareBalance,
  createClassState,
  type ClassState,
} from './class_state.js';
import type {Attempt} from './attempt.js';
import {
  createMovingAverage,
  type MovingAverage,
} from '@sardinestile/prediction';
import {
  createPrefillEstimator,
  type PrefillEstimator,
} from './prefill_estimator.js';
import type {
  ClassPolicy,
  SchedulerCommand,
  SchedulerOptions,
} from './scheduler_types.js';

/** Weight of the newest interval between tokens; each running attempt adds one in a step. */
const NEWEST_INTERVAL_WEIGHT = 0.02;

/** Latest start of an attempt when it was queued. */
export interface StartDeadline {
  attempt: Attempt;
  atMs: number;
}

/** State of one scheduler. */
export interface SchedulerState {
  weightOf: (organisation: string) => number;
  capacity: number;
  overcommitSlots: number;
  isDraining: boolean;
  /** Sorted by tier, highest first. */
  classes: ClassState[];
  classesByName: Map<string, ClassState>;
  /** Waiting and running attempts by their id. */
  attempts: Map<string, Attempt>;
  running: Set<Attempt>;
  /** Running attempts with long prompts that have no first token yet. */
  prefilling: Set<Attempt>;
  /** Waiting attempts that may not be refused and must start next. */
  overdue: Set<Attempt>;
  /** Latest starts of waiting attempts; may contain ones that have started or ended. */
  deadlines: Heap<StartDeadline>;
  prefill: PrefillEstimator;
  /** Time for one output token of an attempt. */
  tokenIntervalMs: MovingAverage;
  /** Number of running attempts that were ordered to stop. */
  stopping: number;
  /** Number of attempts that were started so far. */
  startSequence: number;
  /** End of the last cooldown, in which lower tiers are limited to their minimum shares. */
  cooldownUntilMs: number;
  /** Duration of the last cooldown. */
  cooldownMs: number;
  nowMs: number;
  /** Commands in response to the event that is being handled. */
  commands: SchedulerCommand[];
}

/** Creates the state of a scheduler without attempts. */
export function createSchedulerState(
  options: SchedulerOptions,
): SchedulerState {
  const state: SchedulerState = {
    weightOf: options.weightOf,
    capacity: options.capacity,
    overcommitSlots: options.overcommitSlots,
    isDraining: false,
    classes: [],
    classesByName: new Map(),
    attempts: new Map(),
    running: new Set(),
    prefilling: new Set(),
    overdue: new Set(),
    deadlines: new Heap((a, b) => a.atMs - b.atMs),
    prefill: createPrefillEstimator(),
    tokenIntervalMs: createMovingAverage(NEWEST_INTERVAL_WEIGHT),
    stopping: 0,
    startSequence: 0,
    cooldownUntilMs: 0,
    cooldownMs: 0,
    nowMs: 0,
    commands: [],
  };
  options.classes.forEach(policy => setPolicy(state, policy));
  return state;
}

/** Adds a class or updates its policy. */
export function setPolicy(state: SchedulerState, policy: ClassPolicy): void {
  const existing = state.classesByName.get(policy.name);
  if (existing) {
    existing.policy = policy;
  } else {
    const added = createClassState(policy, state.weightOf);
    state.classes.push(added);
    state.classesByName.set(policy.name, added);
  }
  state.classes.sort((a, b) => a.policy.tier - b.policy.tier);
}

/** Sets the current time and updates share balances and prefill time for the time that passed. */
export function advanceTime(state: SchedulerState, nowMs: number): void {
  const elapsedMs = nowMs - state.nowMs;
  if (elapsedMs <= 0) return;
  if (state.nowMs > 0) {
    state.classes.forEach(c =>
      updateShareBalance(c, state.capacity, elapsedMs),
    );
  }
  if (state.prefilling.size > 0) state.prefill.addBusyTime(elapsedMs);
  state.nowMs = nowMs;
}

/** Returns the state of the class that an attempt belongs to. */
export function classOf(state: SchedulerState, attempt: Attempt): ClassState {
  return state.classesByName.get(attempt.request.requestClass)!;
}
