import type {UpstreamFleet, Placement} from '@sardinestile/fleet';
import {MIN_FAILURE_STATUS, type AttemptOutcome, type Call} from './call.js';
import {recordAttemptEnd, recordAttemptStart} from './call_records.js';
import {HARMLESS_AFTER_MS} from '../upstreams/crash_watch.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PreparedAttempt} from './prepare_attempt.js';
import {relayResponse} from './relay_response.js';
import {relayStream} from './relay_stream.js';

/**
 * Longest time from sending a request to losing its connection that points to
 * a stale connection, in milliseconds. It covers a round trip between zones
 * but no work at the upstream.
 */
const MAX_STALE_RESET_MS = 10;

/**
 * Shortest idle time after which a connection may be stale, in milliseconds.
 * It covers the round trip of the upstream's close.
 */
const MIN_STALE_IDLE_MS = 20;

/** Sends a call to the chosen upstream and updates the fleet model with the outcome. */
export async function runAttempt(
  context: GatewayContext,
  call: Call,
  prepared: PreparedAttempt,
): Promise<AttemptOutcome> {
  const {fleet, clock, reporter} = context;
  const {placement, startedAtMs} = prepared;
  const {id: upstreamId} = placement.upstream;
  const {requestId} = call;
  call.attempts++;
  call.triedUpstreamIds.add(upstreamId);
  reporter.recordPlacement(
    {
      requestId,
      upstreamId,
      promptParts: call.requestMetadata.promptParts,
      uncachedTokens: placement.uncachedTokens,
      promptTokens: call.requestMetadata.promptTokens,
      urgency: call.urgency,
      targetGapMs: call.route.targetGapMs,
    },
    startedAtMs,
  );
  recordAttemptStart(context, call, prepared);
  let firstEventMs: number | undefined;
  let isHarmless = false;
  const relay = () =>
    call.route.kind === 'stream'
      ? relayStream(context, call, prepared, {
          onFirstEvent(nowMs) {
            firstEventMs = nowMs - startedAtMs;
            call.lastEventAtMs = nowMs;
            recordStreamStart(context, call, placement, nowMs);
            reporter.recordFirstEvent(
              upstreamId,
              requestId,
              beganStream(call),
              nowMs,
            );
            countUsage(context, call);
          },
          onEvent(nowMs) {
            call.lastEventAtMs = nowMs;
            const sinceStartMs = nowMs - startedAtMs;
            if (isHarmless || firstEventMs === undefined) return;
            isHarmless = sinceStartMs - firstEventMs >= HARMLESS_AFTER_MS;
            if (isHarmless) context.quarantine.recordAnswer(call.profile);
          },
        })
      : relayResponse(context, call, prepared);
  const outcome = await relay().catch((error: unknown) => {
    // Its response has ended or failed, so that the upstream no longer works on it.
    reporter.recordEnd(upstreamId, requestId, undefined, clock.monotonicMs());
    throw error;
  });
  const endedAtMs = clock.monotonicMs();
  context.coldWatch.observe(outcome, placement.upstream);
  // While this process was paused, delays and lost connections were its own
  // and say nothing about the upstream.
  const isConclusive = !context.hasPausedSince(startedAtMs);
  const hasFailed = isConclusive ? indicatesFailure(outcome) : undefined;
  reporter.recordEnd(upstreamId, requestId, hasFailed, endedAtMs);
  if (wasConnectionStale(outcome, prepared, endedAtMs)) {
    // The upstream closed an idle connection, which is no sign of bad health.
    prepared.connection.reportStale();
  } else if (isConclusive) {
    recordHealth(outcome, placement, endedAtMs);
  }
  if (firstEventMs !== undefined && isConclusive) {
    learnFirstEventTime(fleet, call, placement, firstEventMs);
  }
  if (isConclusive) {
    learnPredictionError(context, call, prepared, {
      outcome,
      firstEventMs,
      endedAtMs,
    });
  }
  applyOutcome(context, call, upstreamId, outcome);
  if (isConclusive) {
    context.crashWatch.observe({
      call,
      placement,
      outcome,
      firstEventAtMs:
        firstEventMs === undefined ? undefined : startedAtMs + firstEventMs,
      endedAtMs,
    });
  }
  const durationMs = endedAtMs - startedAtMs;
  recordAttemptEnd(context, call, {
    prepared,
    outcome,
    firstEventMs,
    durationMs,
  });
  return outcome;
}

/** Returns the service of a call and the software version that began its stream. */
function beganStream({service, streamVersion: softwareVersion}: Call) {
  return {service, softwareVersion};
}

/** Records what began the stream, when its first event arrives. */
function recordStreamStart(
  {continuations, fleet}: GatewayContext,
  call: Call,
  {upstream}: Placement,
  nowMs: number,
): void {
  if (call.firstEventAtMs !== undefined) return;
  call.firstEventAtMs = nowMs;
  call.streamVersion ??= fleet.coldUpstreams.versionOf(upstream);
  continuations.origins.record(call.requestId, beganStream(call), nowMs);
}

/** Whether the upstream had closed the connection while it was idle. */
function wasConnectionStale(
  outcome: AttemptOutcome,
  {connection, startedAtMs}: PreparedAttempt,
  endedAtMs: number,
): boolean {
  return (
    outcome.kind === 'unknown' &&
    connection.idleMs >= MIN_STALE_IDLE_MS &&
    endedAtMs - startedAtMs <= MAX_STALE_RESET_MS
  );
}

/** Whether the request was held back by this gateway. */
function wasBlocked(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'notSent' && outcome.isBlocked;
}

/** Updates the call's attempt count, whether it may have run and whether its usage counts. */
function applyOutcome(
  context: GatewayContext,
  call: Call,
  upstreamId: string,
  outcome: AttemptOutcome,
): void {
  if (outcome.kind === 'notSent') call.attempts--;
  if (wasBlocked(outcome)) call.triedUpstreamIds.delete(upstreamId);
  if (
    outcome.kind === 'unknown' ||
    outcome.kind === 'cutOff' ||
    outcome.kind === 'heldAnswer'
  ) {
    call.mayHaveRun = true;
  }
  const isServed =
    outcome.kind === 'heldAnswer' &&
    outcome.response.status < MIN_FAILURE_STATUS;
  if (isServed) countUsage(context, call);
}

/** Updates the estimates of the engine's speed with the time to the first event. */
function learnFirstEventTime(
  fleet: UpstreamFleet,
  call: Call,
  placement: Placement,
  firstEventMs: number,
): void {
  const {model} = fleet.serviceStateOf(call.service);
  const {
    state,
    expectedWaitMs: waitMs,
    uncachedTokens,
    copyPromptFrom: copyFrom,
  } = placement;
  state.health.recordFirstEventTime(
    firstEventMs,
    placement.expectedFirstEventMs,
  );
  if (waitMs === 0 && !copyFrom) model.addSample(uncachedTokens, firstEventMs);
}

/** Learns how far the expected time to the response, or to the first event, was off. */
function learnPredictionError(
  {responseTimes}: GatewayContext,
  {service, route}: Call,
  {placement, startedAtMs}: PreparedAttempt,
  {
    outcome,
    firstEventMs,
    endedAtMs,
  }: {
    outcome: AttemptOutcome;
    firstEventMs: number | undefined;
    endedAtMs: number;
  },
): void {
  const error = responseTimes.errorOf(service);
  const expectedMs = placement.expectedFirstEventMs;
  const elapsedMs = endedAtMs - startedAtMs;
  if (firstEventMs !== undefined) {
    error.add(expectedMs, firstEventMs);
    if (outcome.kind === 'answered') {
      responseTimes.recordStreamRest(route.name, elapsedMs - firstEventMs);
    }
  } else if (outcome.kind === 'interrupted' || isSilence(outcome)) {
    error.addUnfinished(expectedMs, elapsedMs);
  } else if (route.kind !== 'stream' && indicatesFailure(outcome) === false) {
    error.add(expectedMs, elapsedMs);
  }
}

/** Whether the attempt ended without a response while its connection was open. */
function isSilence(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'unknown' && outcome.lostConnection === undefined;
}

function countUsage(context: GatewayContext, call: Call): void {
  if (call.isUsageCounted || !call.organisation) return;
  call.isUsageCounted = true;
  context.countUsage(call.organisation.name);
}

/** Whether an outcome is a failure of the upstream; undefined if it says nothing about it. */
function indicatesFailure(outcome: AttemptOutcome): boolean | undefined {
  if (outcome.kind === 'interrupted' || outcome.kind === 'cutOff') {
    return undefined;
  }
  if (wasBlocked(outcome)) return undefined;
  if (outcome.kind === 'answered') return false;
  if (outcome.kind !== 'heldAnswer') return true;
  return outcome.response.status >= MIN_FAILURE_STATUS;
}

function recordHealth(
  outcome: AttemptOutcome,
  {state}: Placement,
  nowMs: number,
): void {
  const {health} = state;
  const failed = indicatesFailure(outcome);
  if (failed === undefined) return;
  if (!failed) health.recordSuccess(nowMs);
  else if (outcome.kind === 'heldAnswer') health.recordErrorResponse(nowMs);
  else health.recordUnreachable(nowMs);
}
