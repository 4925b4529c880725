import {placeRequest, type Fleet, type Placement} from '@sardinestile/fleet';
import type {RouteKind} from '@sardinestile/route_table';
import {leaveUnframed} from './answer_framing.js';
import type {AttemptOutcome, BufferedAnswer, Call} from './call.js';
import type {GatewayContext} from './gateway_context.js';
import type {PreparedAttempt} from './prepare_attempt.js';
import {refuse, type GatewayRefusal} from './refuse.js';
import {relayAnswer} from './relay_answer.js';
import {relayStream} from './relay_stream.js';

/** When callers may return after an upstream refused or could not be reached, in milliseconds. */
const UNREACHED_RETRY_AFTER_MS = 250;

/** Status from which an upstream's answer says that it failed. */
const FIRST_FAILURE_STATUS = 500;

/** Whether a call of each kind of route may be sent again after it may have run. */
const MAY_REPEAT: Readonly<Record<RouteKind, (call: Call) => boolean>> = {
  idempotent: () => true,
  once: () => false,
  stream: call => call.route.isResumable,
};

/** Makes attempts until the call has its final answer. */
export async function runCall(
  context: GatewayContext,
  call: Call,
): Promise<void> {
  const {clock, budgets} = context;
  const budget = budgets.of(call.service);
  budget.recordRequest(clock.monotonicMs());
  let heldAnswer: BufferedAnswer | undefined;
  let lastReason = 'no upstream is known';
  for (;;) {
    const nowMs = clock.monotonicMs();
    const isRepeat = call.attempts > 0;
    if (isRepeat) {
      const mayRepeat = !call.mayHaveRun || MAY_REPEAT[call.route.kind](call);
      const isAllowed =
        mayRepeat && call.attempts < maxAttempts(call) && nowMs < call.endAtMs;
      if (!isAllowed || !budget.takeRepeat(nowMs)) break;
    }
    const placement = place(context, call, nowMs);
    if (!placement) break;
    const prepared = prepare(context, call, placement, nowMs);
    if (!prepared) {
      lastReason = `no connection to ${placement.upstream.id} is free`;
      break;
    }
    const outcome = await runAttempt(context, call, prepared);
    if (outcome.kind === 'answered') return;
    if (outcome.kind === 'interrupted') {
      endInterrupted(context, call, outcome.reason);
      return;
    }
    if (outcome.kind === 'heldAnswer') {
      heldAnswer = outcome.answer;
      const {status} = outcome.answer;
      if (status < FIRST_FAILURE_STATUS) break;
      lastReason = `upstream answered ${status}`;
      continue;
    }
    lastReason = outcome.reason;
  }
  finish(context, call, heldAnswer, lastReason);
}

/** Streams that go on elsewhere after some events are one run, but count as attempts. */
function maxAttempts({route}: Call): number {
  return route.maxAttempts;
}

function place(context: GatewayContext, call: Call, nowMs: number) {
  const {facts, service, urgency, triedIds} = call;
  const request = {
    service,
    promptTokens: facts.promptTokens,
    promptParts: facts.promptParts,
    urgency,
    targetLatencyMs: call.route.targetLatencyMs,
    targetGapMs: call.route.targetGapMs,
    triedIds,
  };
  return placeRequest(context.fleet, request, nowMs);
}

function prepare(
  context: GatewayContext,
  call: Call,
  placement: Placement,
  nowMs: number,
): PreparedAttempt | undefined {
  const {connections, routes} = context;
  const service = routes()?.table.services.find(
    ({name}) => name === call.service,
  );
  const limit = Math.max(2, Math.floor((service?.maxConnections ?? 100) / 4));
  const connection = connections.acquire(placement.upstream.address, limit);
  if (!connection) return undefined;
  return {
    placement,
    connection,
    startedAtMs: nowMs,
    fetchFrom: placement.copyFrom?.address,
    giveUpMs: giveUpMs(call, placement),
  };
}

/** How long a call that may be repeated waits for a sign of its answer. */
function giveUpMs(call: Call, placement: Placement): number | undefined {
  if (!MAY_REPEAT[call.route.kind](call)) return undefined;
  if (call.attempts + 1 >= maxAttempts(call)) return undefined;
  return Math.max(2 * call.route.targetLatencyMs, 3 * placement.firstEventMs);
}

async function runAttempt(
  context: GatewayContext,
  call: Call,
  prepared: PreparedAttempt,
): Promise<AttemptOutcome> {
  const {fleet, clock, logger, reporter} = context;
  const {placement, startedAtMs} = prepared;
  const {upstream, state} = placement;
  const {requestId} = call;
  call.attempts++;
  call.triedIds.add(upstream.id);
  reporter.placed(
    {
      requestId,
      upstreamId: upstream.id,
      promptParts: call.facts.promptParts,
      unreadTokens: placement.unreadTokens,
      promptTokens: call.facts.promptTokens,
      urgency: call.urgency,
      targetGapMs: call.route.targetGapMs,
    },
    startedAtMs,
  );
  let firstEventMs: number | undefined;
  const outcome =
    call.route.kind === 'stream'
      ? await relayStream(context, call, prepared, {
          onFirstEvent(nowMs) {
            firstEventMs = nowMs - startedAtMs;
            reporter.firstEvent(upstream.id, requestId, nowMs);
            countUsage(context, call);
          },
        })
      : await relayAnswer(context, call, prepared);
  const endedAtMs = clock.monotonicMs();
  reporter.ended(upstream.id, requestId, endedAtMs);
  noteHealth(outcome, placement, endedAtMs);
  if (outcome.kind === 'unknown' || outcome.kind === 'heldAnswer') {
    call.mayHaveRun = true;
  }
  if (firstEventMs !== undefined) learn(fleet, call, placement, firstEventMs);
  if (
    outcome.kind === 'heldAnswer' &&
    outcome.answer.status < FIRST_FAILURE_STATUS
  ) {
    countUsage(context, call);
  }
  logger.info('attempt_ended', {
    requestId,
    upstream: upstream.id,
    attempt: call.attempts,
    outcome: outcome.kind,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    status: statusOf(outcome),
    isFreshConnection: prepared.connection.isFresh,
    unreadTokens: placement.unreadTokens,
    copiedFrom: placement.copyFrom?.id,
    expectedWaitMs: Math.round(placement.waitMs),
    expectedFirstEventMs: Math.round(placement.firstEventMs),
    firstEventMs:
      firstEventMs === undefined ? undefined : Math.round(firstEventMs),
    durationMs: Math.round(endedAtMs - startedAtMs),
    slowness: Number(state.health.slowness.toFixed(2)),
  });
  return outcome;
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

function statusOf(outcome: AttemptOutcome): number | undefined {
  if (outcome.kind === 'answered') return outcome.status;
  return outcome.kind === 'heldAnswer' ? outcome.answer.status : undefined;
}

function countUsage(context: GatewayContext, call: Call): void {
  if (call.isCounted || !call.organisation) return;
  call.isCounted = true;
  context.countUsage(call.organisation.name);
}

function noteHealth(
  outcome: AttemptOutcome,
  {state}: Placement,
  nowMs: number,
): void {
  const {health} = state;
  if (outcome.kind === 'answered') health.recordSuccess();
  if (outcome.kind === 'unknown') health.recordUnreachable(nowMs);
  if (outcome.kind === 'notRun') health.recordUnreachable(nowMs);
  if (outcome.kind === 'heldAnswer') {
    if (outcome.answer.status >= FIRST_FAILURE_STATUS) health.recordError();
    else health.recordSuccess();
  }
}

/** Gives the final answer of a call of which no attempt was passed on whole. */
function finish(
  context: GatewayContext,
  call: Call,
  heldAnswer: BufferedAnswer | undefined,
  reason: string,
): void {
  const {response} = call;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  if (heldAnswer) {
    const {status, headers, body} = heldAnswer;
    if (heldAnswer.isUnframed) {
      leaveUnframed(response);
      response.writeHead(status, headers);
    } else {
      response.writeHead(status, {...headers, 'content-length': body.length});
    }
    response.end(body);
    return;
  }
  if (call.mayHaveRun) {
    refuse(context, call, 'upstreamFailed', {reason});
    return;
  }
  const code: GatewayRefusal = call.attempts > 0 ? 'budgetSpent' : 'noUpstream';
  refuse(context, call, code, {reason, retryAfterMs: UNREACHED_RETRY_AFTER_MS});
}

function endInterrupted(
  context: GatewayContext,
  call: Call,
  reason: 'callerLeft' | 'timeout',
): void {
  context.metrics.increment('sardinestile_interrupted_total', {reason});
  if (reason === 'callerLeft') {
    context.logger.info('caller_left', {
      requestId: call.requestId,
      route: call.route.name,
      attempts: call.attempts,
    });
    return;
  }
  if (call.response.headersSent) {
    call.response.destroy();
    return;
  }
  refuse(context, call, 'timedOut');
}
