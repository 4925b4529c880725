import {silenceLimitMs} from '@sardinestile/admission';
import type {Placement} from '@sardinestile/fleet';
import {completeTimeLeftMs, responseTimeLeftMs} from './call_time.js';
import type {RouteKind} from '@sardinestile/route_table';
import {recordDecision} from './call_records.js';
import {MIN_FAILURE_STATUS, type BufferedResponse, type Call} from './call.js';
import {
  admitAttempt,
  choosePlacement,
  connectionLimit,
  serviceTimeOf,
} from './plan_attempt.js';
import {
  hasUnknownVersion,
  prepareContinuation,
  refuseIfVersionUnavailable,
} from './prepare_continuation.js';
import {endInterrupted, finishCall} from './finish_call.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PreparedAttempt, SilenceLimits} from './prepare_attempt.js';
import {
  refuseHarmful,
  refuseIfOutOfService,
  refuseIfPaused,
  refuseOverload,
} from './refuse_unplaced.js';
import {createResponseReceipt} from './response_receipt.js';
import {runAttempt} from './run_attempt.js';

/** Whether a call may be retried after an attempt that may have run, by kind of route. */
const CAN_RETRY: Readonly<Record<RouteKind, (call: Call) => boolean>> = {
  idempotent: () => true,
  once: () => false,
  stream: call => call.route.isResumable,
};

/** Makes attempts until the call has its final response. */
export async function runCall(
  context: GatewayContext,
  call: Call,
): Promise<void> {
  const {clock, retryBudgets} = context;
  if (!(await prepareContinuation(context, call))) return;
  const retryBudget = retryBudgets.of(call.service);
  retryBudget.recordRequest(clock.monotonicMs());
  let heldResponse: BufferedResponse | undefined;
  let reason = 'the service has no usable upstream';
  for (;;) {
    const nowMs = clock.monotonicMs();
    const verdict = context.quarantine.check(call.profile);
    if (verdict && call.mayHaveRun) break;
    if (verdict) {
      refuseHarmful(context, call, verdict);
      return;
    }
    if (call.attempts > 0) {
      const blocker = findRetryBlocker(context, call, nowMs);
      if (blocker !== undefined) {
        reason = `${reason}; not retried, as ${blocker}`;
        break;
      }
    }
    const placement = choosePlacement(context, call, nowMs);
    if (!placement) {
      if (refuseIfOutOfService(context, call)) return;
      if (refuseIfPaused(context, call, nowMs)) return;
      if (refuseIfVersionUnavailable(context, call)) return;
      reason = `${reason}; no other upstream takes the request`;
      break;
    }
    // The share of the organisation is decided about once for a call.
    const share =
      call.attempts > 0 || isContinued(call)
        ? undefined
        : context.fairShares.recordDemand(call, placement, nowMs);
    const decision = admitAttempt(context, call, {
      placement,
      share,
      routeServiceTimeMs: context.responseTimes.observeServiceTime(
        call.route.name,
        serviceTimeOf(placement),
      ),
      nowMs,
    });
    recordDecision(context, call, decision, share);
    if (decision.kind === 'refuse') {
      if (call.mayHaveRun || call.response.headersSent) {
        reason = `${reason}; not retried, as no upstream would answer in the time that is left`;
        break;
      }
      refuseOverload(context, call, {placement, decision, share});
      return;
    }
    if (call.attempts > 0 && !retryBudget.tryTakeRetry(nowMs)) {
      reason = `${reason}; the retry budget is exhausted`;
      break;
    }
    const prepared = prepare(context, call, placement, nowMs);
    if (!prepared) {
      reason = `the connection limit of ${placement.upstream.id} is reached`;
      break;
    }
    context.fairShares.recordAdmission(call, nowMs);
    context.returns.recordStart(call.service, nowMs);
    const outcome = await runAttempt(context, call, prepared);
    if (outcome.kind === 'answered') return;
    if (outcome.kind === 'interrupted') {
      endInterrupted(context, call, outcome.reason);
      return;
    }
    if (outcome.kind === 'cutOff') {
      // The caller's own pause is the cause, so that another attempt would end alike.
      finishCall(context, call, undefined, outcome.reason);
      return;
    }
    if (outcome.kind === 'heldAnswer') {
      heldResponse = outcome.response;
      const {status} = outcome.response;
      if (status < MIN_FAILURE_STATUS) break;
      reason = `upstream responded with status ${status}`;
    } else {
      reason = outcome.reason;
    }
  }
  finishCall(context, call, heldResponse, reason);
}

/** Returns why a call must not be retried, or undefined if it may be. */
function findRetryBlocker(
  {quarantine}: GatewayContext,
  call: Call,
  nowMs: number,
): string | undefined {
  const {kind, maxAttempts} = call.route;
  if (kind !== 'stream' && call.response.headersSent) {
    return 'a part of the response was forwarded';
  }
  if (call.mayHaveRun && !CAN_RETRY[kind](call)) return 'it may have run';
  if (call.mayHaveRun && quarantine.isSuspected(call.profile)) {
    return 'it, or a part of its prompt, may have crashed upstreams';
  }
  if (hasUnknownVersion(call)) {
    return 'the software version that began the stream is unknown';
  }
  if (call.attempts >= maxAttempts) return 'the route allows no more attempts';
  return nowMs >= call.routeDeadlineAtMs
    ? 'the deadline of the route has passed'
    : undefined;
}

/** Whether the call goes on with a stream that has begun. */
function isContinued({streamVersion}: Call): boolean {
  return streamVersion !== undefined;
}

function prepare(
  context: GatewayContext,
  call: Call,
  placement: Placement,
  nowMs: number,
): PreparedAttempt | undefined {
  const {clock} = context;
  const {address} = placement.upstream;
  const canRetry = CAN_RETRY[call.route.kind](call);
  const connection = context.connections.acquire(
    address,
    connectionLimit(context, call),
    canRetry,
  );
  return (
    connection && {
      placement,
      connection,
      receipt: createResponseReceipt({
        requestId: call.requestId,
        readRequestId: headers =>
          context.headerCodec.readResponse(headers).requestId,
      }),
      startedAtMs: nowMs,
      copyPromptFrom: placement.copyPromptFrom?.address,
      silence: silenceLimits(context, call, placement, nowMs),
      canRepeat: () =>
        findRepeatBlocker(context, call, clock.monotonicMs()) === undefined,
    }
  );
}

/** Returns the times without data after which the call is sent elsewhere. */
function silenceLimits(
  {responseTimes}: GatewayContext,
  call: Call,
  {expectedFirstEventMs}: Placement,
  nowMs: number,
): SilenceLimits {
  const {kind, maxAttempts, callerPatienceMs = Infinity} = call.route;
  if (!CAN_RETRY[kind](call)) return {};
  const error = responseTimes.errorOf(call.service);
  const repeatMs = error.expectedMs(expectedFirstEventMs);
  const attemptsLeft = maxAttempts - call.attempts;
  return {
    beforeResponseMs: silenceLimitMs({
      usualMs: error.hasSamples
        ? error.boundMs(expectedFirstEventMs)
        : undefined,
      repeatMs,
      timeLeftMs: responseTimeLeftMs(call, nowMs),
      attemptsLeft,
    }),
    // A pause that its caller bears does not end a stream: its work would be in vain.
    betweenEventsMs: silenceLimitMs({
      usualMs: undefined,
      repeatMs,
      timeLeftMs: Math.min(callerPatienceMs, completeTimeLeftMs(call, nowMs)),
      attemptsLeft,
    }),
  };
}

/**
 * Returns why a call that is being served could not be sent elsewhere now. An attempt that is
 * ended for its silence has to be followed by another one, as its upstream may go on.
 */
function findRepeatBlocker(
  context: GatewayContext,
  call: Call,
  nowMs: number,
): string | undefined {
  if (!CAN_RETRY[call.route.kind](call)) return 'it may have run';
  if (context.retryBudgets.of(call.service).retriesLeft(nowMs) <= 0) {
    return 'the retry budget is exhausted';
  }
  const retryBlocker = findRetryBlocker(context, call, nowMs);
  if (retryBlocker !== undefined) return retryBlocker;
  const placement = choosePlacement(context, call, nowMs);
  if (!placement) return 'no other upstream takes the request';
  const {kind} = admitAttempt(context, call, {
    placement,
    share: undefined,
    routeServiceTimeMs: context.responseTimes.serviceTimeMs(call.route.name),
    nowMs,
  });
  if (kind === 'refuse') return 'no upstream would answer in the time left';
  const {address, id} = placement.upstream;
  return context.connections.canAcquire(address, connectionLimit(context, call))
    ? undefined
    : `the connection limit of ${id} is reached`;
}
