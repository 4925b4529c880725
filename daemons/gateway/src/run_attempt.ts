import type {Fleet, Placement} from '@sardinestile/fleet';
import type {AttemptOutcome, Call} from './call.js';
import {recordAttemptEnd, recordAttemptStart} from './call_records.js';
import type {GatewayContext} from './gateway_context.js';
import type {PreparedAttempt} from './prepare_attempt.js';
import {relayAnswer} from './relay_answer.js';
import {relayStream} from './relay_stream.js';

/** Status from which an upstream's answer says that it failed. */
export const FIRST_FAILURE_STATUS = 500;

/** Longest time until a reset that tells of a forgotten connection, in milliseconds: a round trip between zones, no work. */
const MAX_FORGOTTEN_MS = 10;

/** Shortest rest after which a connection may have been forgotten, in milliseconds; a round trip of the closing. */
const MIN_FORGOTTEN_REST_MS = 20;

/** Sends a call to the upstream that was chosen, and learns from what comes of it. */
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
  call.triedIds.add(upstreamId);
  reporter.placed(
    {
      requestId,
      upstreamId,
      promptParts: call.facts.promptParts,
      unreadTokens: placement.unreadTokens,
      promptTokens: call.facts.promptTokens,
      urgency: call.urgency,
      targetGapMs: call.route.targetGapMs,
    },
    startedAtMs,
  );
  recordAttemptStart(context, call, prepared);
  let firstEventMs: number | undefined;
  const outcome =
    call.route.kind === 'stream'
      ? await relayStream(context, call, prepared, {
          onFirstEvent(nowMs) {
            firstEventMs = nowMs - startedAtMs;
            call.firstEventAtMs ??= nowMs;
            reporter.firstEvent(upstreamId, requestId, nowMs);
            countUsage(context, call);
          },
        })
      : await relayAnswer(context, call, prepared);
  const endedAtMs = clock.monotonicMs();
  // Times and broken connections of a standstill say nothing about the upstream.
  const isTelling = !context.stoodStillSince(startedAtMs);
  const failed = isTelling ? hasFailed(outcome) : undefined;
  reporter.ended(upstreamId, requestId, failed, endedAtMs);
  if (wasForgotten(outcome, prepared, endedAtMs)) {
    // It says nothing about the upstream's health.
    prepared.connection.noteForgotten();
  } else if (isTelling) {
    noteHealth(outcome, placement, endedAtMs);
  }
  if (firstEventMs !== undefined && isTelling) {
    learn(fleet, call, placement, firstEventMs);
  }
  noteOutcome(context, call, outcome);
  const durationMs = endedAtMs - startedAtMs;
  recordAttemptEnd(context, call, {
    prepared,
    outcome,
    firstEventMs,
    durationMs,
  });
  return outcome;
}

/** Whether the upstream had closed the connection while it rested. */
function wasForgotten(
  outcome: AttemptOutcome,
  {connection, startedAtMs}: PreparedAttempt,
  endedAtMs: number,
): boolean {
  return (
    outcome.kind === 'unknown' &&
    connection.restedMs >= MIN_FORGOTTEN_REST_MS &&
    endedAtMs - startedAtMs <= MAX_FORGOTTEN_MS
  );
}

/** Notes whether the call may have run, and whether it counts as used. */
function noteOutcome(
  context: GatewayContext,
  call: Call,
  outcome: AttemptOutcome,
): void {
  if (outcome.kind === 'notSent') call.attempts--;
  if (outcome.kind === 'unknown' || outcome.kind === 'heldAnswer') {
    call.mayHaveRun = true;
  }
  const isServed =
    outcome.kind === 'heldAnswer' &&
    outcome.answer.status < FIRST_FAILURE_STATUS;
  if (isServed) countUsage(context, call);
}

/** Takes what the first event shows of the engine's speed. */
function learn(
  fleet: Fleet,
  call: Call,
  placement: Placement,
  firstEventMs: number,
): void {
  const {model} = fleet.serviceOf(call.service);
  const {state, waitMs, unreadTokens, copyFrom} = placement;
  state.health.recordPace(firstEventMs, placement.firstEventMs);
  if (waitMs === 0 && !copyFrom) model.learn(unreadTokens, firstEventMs);
}

function countUsage(context: GatewayContext, call: Call): void {
  if (call.isCounted || !call.organisation) return;
  call.isCounted = true;
  context.countUsage(call.organisation.name);
}

/** What an outcome says about the upstream; undefined if nothing. */
function hasFailed(outcome: AttemptOutcome): boolean | undefined {
  if (outcome.kind === 'interrupted') return undefined;
  if (outcome.kind === 'answered') return false;
  if (outcome.kind !== 'heldAnswer') return true;
  return outcome.answer.status >= FIRST_FAILURE_STATUS;
}

function noteHealth(
  outcome: AttemptOutcome,
  {state}: Placement,
  nowMs: number,
): void {
  const {health} = state;
  const failed = hasFailed(outcome);
  if (failed === undefined) return;
  if (!failed) health.recordSuccess(nowMs);
  else if (outcome.kind === 'heldAnswer') health.recordError(nowMs);
  else health.recordUnreachable(nowMs);
}
