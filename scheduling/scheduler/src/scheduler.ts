import {isBelowMinShare, type ClassState} from './class_state.js';
import {fillSlots} from './fill_slots.js';
import type {Attempt} from './attempt.js';
import {createAttempt, end, enqueue, leaveSlot} from './attempt_lifecycle.js';
import {preemptFor} from './preemption.js';
import {prefillTokensOf} from './prefill_estimator.js';
import {
  MIN_RETRY_AFTER_MS,
  refuse,
  refuseLate,
  handleDueDeadlines,
} from './refusal.js';
import {
  advanceTime,
  classOf,
  createSchedulerState,
  setPolicy,
  type SchedulerState,
} from './scheduler_state.js';
import type {
  ClassDump,
  Scheduler,
  SchedulerEvent,
  SchedulerOptions,
} from './scheduler_types.js';

type EventKind = SchedulerEvent['kind'];
type EventHandlers = {
  [K in EventKind]: (
    state: SchedulerState,
    event: Extract<SchedulerEvent, {kind: K}>,
  ) => void;
};

const HANDLERS: EventHandlers = {
  arrived(state, {request}) {
    const {attemptId} = request;
    if (state.attempts.has(attemptId)) return;
    const requestClass = state.classesByName.get(request.requestClass);
    if (requestClass && !state.isDraining) {
      return admit(state, createAttempt(state, request, requestClass));
    }
    const code = 'shutting_down';
    const retryAfterMs = MIN_RETRY_AFTER_MS;
    state.commands.push({kind: 'refuse', attemptId, code, retryAfterMs});
  },
  withdrawn(state, {attemptId}) {
    const attempt = state.attempts.get(attemptId);
    if (attempt) end(state, attempt);
  },
  firstToken(state, {attemptId}) {
    const attempt = state.attempts.get(attemptId);
    if (!attempt) return;
    if (state.prefilling.delete(attempt)) {
      state.prefill.addTokens(prefillTokensOf(attempt.request));
    }
    if (attempt.hasFirstToken) return;
    attempt.hasFirstToken = true;
    const elapsedMs = state.nowMs - attempt.startedAtMs;
    const {startToFirstTokenMs, prefillError} = classOf(state, attempt);
    startToFirstTokenMs.add(elapsedMs);
    prefillError.add(attempt.predictedPrefillMs, elapsedMs);
  },
  tokensServed(state, {attemptId, tokens}) {
    const attempt = state.attempts.get(attemptId);
    if (!attempt) return;
    attempt.servedTokens += tokens;
    if (attempt.lastTokenAtMs !== undefined && tokens > 0) {
      const elapsedMs = state.nowMs - attempt.lastTokenAtMs;
      state.tokenIntervalMs.add(elapsedMs / tokens);
    }
    attempt.lastTokenAtMs = state.nowMs;
    classOf(state, attempt).queue.charge(attempt.request.organisation, tokens);
  },
  finished(state, {attemptId}) {
    const attempt = state.attempts.get(attemptId);
    if (!attempt) return;
    if (attempt.stage === 'running' && !attempt.isStopping) {
      const {serviceTimeMs, outputTokens} = classOf(state, attempt);
      serviceTimeMs.add(state.nowMs - attempt.startedAtMs);
      outputTokens.add(attempt.servedTokens);
    }
    end(state, attempt);
  },
  requeued(state, {attemptId}) {
    const attempt = state.attempts.get(attemptId);
    if (attempt?.stage !== 'running') return;
    if (attempt.isRefused) return end(state, attempt);
    leaveSlot(state, attempt);
    admit(state, attempt);
  },
  policyChanged(state, {classes, capacity, overcommitSlots}) {
    state.capacity = capacity;
    state.overcommitSlots = overcommitSlots;
    classes.forEach(policy => setPolicy(state, policy));
  },
  drainStarted(state) {
    state.isDraining = true;
    for (const {queue} of state.classes) {
      queue
        .values()
        .forEach(attempt => refuse(state, attempt, 'shutting_down'));
    }
  },
  drainEnded(state) {
    state.isDraining = false;
  },
  timePassed() {},
};

/**
 * Creates the scheduler of one upstream.
 *
 * Free slots go first to a class below its minimum share, then to the highest
 * tier, and within a tier to the class whose next attempt has to start first.
 * Within a class, the organisation that was served least comes first. An
 * attempt that cannot meet its target is refused, but only if no lower tier is
 * waiting and none started while it waited.
 */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const state = createSchedulerState(options);
  return {
    handle(event, nowMs) {
      advanceTime(state, nowMs);
      state.commands = [];
      const handler = HANDLERS[event.kind] as (
        state: SchedulerState,
        event: SchedulerEvent,
      ) => void;
      handler(state, event);
      fillSlots(state);
      handleDueDeadlines(state);
      return state.commands;
    },
    counts: () => ({
      running: state.running.size,
      waiting: state.attempts.size - state.running.size,
      capacity: state.capacity,
    }),
    nextWakeUpMs: () => nextWakeUpMs(state),
    dump: () => state.classes.map(dumpClass),
  };
}

/**
 * Starts or queues an attempt that has arrived or was preempted. If it would probably
 * miss its latest start, by the predicted wait and its measured error, a lower tier is
 * preempted for it or it is refused at once, so that its caller has the rest of its time
 * for another upstream.
 */
function admit(state: SchedulerState, attempt: Attempt): void {
  const requestClass = classOf(state, attempt);
  enqueue(state, attempt);
  fillSlots(state);
  if (attempt.stage !== 'queued') return;
  const slackMs = attempt.latestStartMs - state.nowMs;
  const waitBoundMs = requestClass.waitError.boundMs(attempt.predictedWaitMs);
  const isLate = waitBoundMs > slackMs;
  if (!isLate || isBelowMinShare(requestClass, state.capacity)) return;
  if (!preemptFor(state, attempt)) refuseLate(state, attempt);
}

function nextWakeUpMs(state: SchedulerState): number | undefined {
  const deadlineMs = state.deadlines.peek()?.atMs;
  const hasWaiting = state.attempts.size > state.running.size;
  const isInCooldown = state.nowMs < state.cooldownUntilMs && hasWaiting;
  if (!isInCooldown) return deadlineMs;
  return Math.min(state.cooldownUntilMs, deadlineMs ?? Infinity);
}

function dumpClass({
  policy,
  running,
  queue,
  owedPlaceMs,
}: ClassState): ClassDump {
  return {
    requestClass: policy.name,
    tier: policy.tier,
    running,
    waiting: queue.size,
    owedPlaceMs: Math.round(owedPlaceMs),
    organisations: queue.backlogs().map(backlog => ({
      organisation: backlog.organisation,
      waiting: backlog.waiting,
      servedTokens: Math.round(backlog.counter),
    })),
  };
}
