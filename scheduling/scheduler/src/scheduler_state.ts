import {Heap} from 'heap-js';
import {accrueShare, createClassState, type ClassState} from './class_state.js';
import type {Place} from './place.js';
import {
  createPrefillEstimator,
  type PrefillEstimator,
} from './prefill_estimator.js';
import type {
  ClassPolicy,
  SchedulerCommand,
  SchedulerOptions,
} from './scheduler_types.js';

/** Everything that a scheduler knows. */
export interface SchedulerState {
  weightOf: (organisation: string) => number;
  capacity: number;
  overcommitPlaces: number;
  isDraining: boolean;
  /** In order of tier. */
  classes: ClassState[];
  classesByName: Map<string, ClassState>;
  /** Requests that wait or run. */
  places: Map<string, Place>;
  running: Set<Place>;
  /** Running requests with long prompts and without their first token. */
  prefilling: Set<Place>;
  /** Waiting requests that may not be refused and have to start next. */
  overdue: Set<Place>;
  /** Waiting requests by latest start; may hold some that have ended. */
  deadlines: Heap<Place>;
  prefill: PrefillEstimator;
  /** Running requests that were told to stop. */
  stopping: number;
  /** Number of starts so far. */
  startSequence: number;
  /** Latest end of any class's restriction to its minimum share. */
  holdBackUntilMs: number;
  /** Length of the last such time. */
  holdBackMs: number;
  nowMs: number;
  /** Commands of the event that is being handled. */
  commands: SchedulerCommand[];
}

/** Makes the state of a scheduler without requests. */
export function createSchedulerState(
  options: SchedulerOptions,
): SchedulerState {
  const state: SchedulerState = {
    weightOf: options.weightOf,
    capacity: options.capacity,
    overcommitPlaces: options.overcommitPlaces,
    isDraining: false,
    classes: [],
    classesByName: new Map(),
    places: new Map(),
    running: new Set(),
    prefilling: new Set(),
    overdue: new Set(),
    deadlines: new Heap((a, b) => a.latestStartMs - b.latestStartMs),
    prefill: createPrefillEstimator(),
    stopping: 0,
    startSequence: 0,
    holdBackUntilMs: 0,
    holdBackMs: 0,
    nowMs: 0,
    commands: [],
  };
  options.classes.forEach(policy => setPolicy(state, policy));
  return state;
}

/** Adds a class or changes its policy. */
export function setPolicy(state: SchedulerState, policy: ClassPolicy): void {
  const known = state.classesByName.get(policy.name);
  if (known) {
    known.policy = policy;
  } else {
    const added = createClassState(policy, state.weightOf);
    state.classes.push(added);
    state.classesByName.set(policy.name, added);
  }
  state.classes.sort((a, b) => a.policy.tier - b.policy.tier);
}

/** Moves the clock on and accounts for the time that passed. */
export function advanceTime(state: SchedulerState, nowMs: number): void {
  const elapsedMs = nowMs - state.nowMs;
  if (elapsedMs <= 0) return;
  if (state.nowMs > 0) {
    state.classes.forEach(c => accrueShare(c, state.capacity, elapsedMs));
  }
  if (state.prefilling.size > 0) state.prefill.addBusyTime(elapsedMs);
  state.nowMs = nowMs;
}

/** The class of a request. */
export function classOf(state: SchedulerState, place: Place): ClassState {
  return state.classesByName.get(place.request.requestClass)!;
}
