import {decideAdmission} from '@sardinestile/admission';
import {placeRequest, type Placement} from '@sardinestile/fleet';
import type {RouteKind} from '@sardinestile/route_table';
import type {BufferedAnswer, Call} from './call.js';
import {endInterrupted, finishCall} from './finish_call.js';
import type {GatewayContext} from './gateway_context.js';
import type {PreparedAttempt} from './prepare_attempt.js';
import {refuse} from './refuse.js';
import {FIRST_FAILURE_STATUS, runAttempt} from './run_attempt.js';

/** Fewest connections that a gateway may open to one upstream. */
const MIN_CONNECTIONS = 2;

/** Connections that an upstream takes where its service is not known. */
const DEFAULT_CONNECTIONS = 100;

/** Time without a sign of an answer after which a call is sent elsewhere, as a multiple of what its caller wants. */
const GIVE_UP_TARGETS = 2;

/** The same as a multiple of what is expected at the upstream. */
const GIVE_UP_EXPECTATIONS = 3;

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
  let reason = 'no upstream is known';
  for (;;) {
    const nowMs = clock.monotonicMs();
    if (call.attempts > 0) {
      const blocked = whyNotAgain(call, nowMs);
      if (blocked !== undefined) break;
      if (!budget.takeRepeat(nowMs)) {
        reason = `${reason}; the retry budget is spent`;
        break;
      }
    }
    const placement = place(context, call, nowMs);
    if (!placement) break;
    if (call.attempts === 0) {
      const decision = admit(context, call, placement, nowMs);
      if (decision.kind === 'refuse') {
        refuseOverload(context, call, placement, decision.retryAfterMs);
        return;
      }
    }
    const prepared = prepare(context, call, placement, nowMs);
    if (!prepared) {
      reason = `no connection to ${placement.upstream.id} is free`;
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
      reason = `upstream answered ${status}`;
    } else {
      reason = outcome.reason;
    }
  }
  finishCall(context, call, heldAnswer, reason);
}

/** Why a call must not be sent to another upstream; undefined if it may. */
function whyNotAgain(call: Call, nowMs: number): string | undefined {
  const {kind, maxAttempts} = call.route;
  if (call.mayHaveRun && !MAY_REPEAT[kind](call)) return 'it may have run';
  if (call.attempts >= maxAttempts) return 'every attempt was made';
  return nowMs >= call.endAtMs ? 'its time is over' : undefined;
}

function place(context: GatewayContext, call: Call, nowMs: number) {
  const {facts, service, urgency, triedIds, route} = call;
  const request = {
    service,
    promptTokens: facts.promptTokens,
    promptParts: facts.promptParts,
    urgency,
    targetLatencyMs: route.targetLatencyMs,
    targetGapMs: route.targetGapMs,
    triedIds,
  };
  return placeRequest(context.fleet, request, nowMs);
}

function admit(
  context: GatewayContext,
  call: Call,
  {waitMs, firstEventMs}: Placement,
  nowMs: number,
) {
  const workMs = firstEventMs - waitMs;
  return decideAdmission({
    waitMs,
    workMs,
    usualWorkMs: context.usualWork.observe(call.route.name, workMs),
    targetLatencyMs: call.route.targetLatencyMs,
    timeLeftMs: Math.min(call.endAtMs, call.deadlineAtMs) - nowMs,
  });
}

function refuseOverload(
  context: GatewayContext,
  call: Call,
  {waitMs, firstEventMs, upstream}: Placement,
  retryAfterMs: number,
): void {
  refuse(context, call, 'overloaded', {
    retryAfterMs,
    reason:
      `${upstream.id} would begin after ${Math.round(waitMs)} ms ` +
      `and answer after ${Math.round(firstEventMs)} ms`,
  });
}

function prepare(
  context: GatewayContext,
  call: Call,
  placement: Placement,
  nowMs: number,
): PreparedAttempt | undefined {
  const service = context.routes()?.service(call.service);
  const limit = Math.max(
    MIN_CONNECTIONS,
    Math.floor(
      (service?.maxConnections ?? DEFAULT_CONNECTIONS) /
        context.gateways.inGroup,
    ),
  );
  const {address} = placement.upstream;
  const mayRepeat = MAY_REPEAT[call.route.kind](call);
  const connection = context.connections.acquire(address, limit, mayRepeat);
  return (
    connection && {
      placement,
      connection,
      startedAtMs: nowMs,
      fetchFrom: placement.copyFrom?.address,
      giveUpMs: giveUpMs(call, placement),
    }
  );
}

/** How long a call that may be repeated waits for a sign of its answer. */
function giveUpMs(call: Call, placement: Placement): number | undefined {
  const {kind, maxAttempts, targetLatencyMs} = call.route;
  if (!MAY_REPEAT[kind](call)) return undefined;
  if (call.attempts + 1 >= maxAttempts) return undefined;
  return Math.max(
    GIVE_UP_TARGETS * targetLatencyMs,
    GIVE_UP_EXPECTATIONS * placement.firstEventMs,
  );
}
