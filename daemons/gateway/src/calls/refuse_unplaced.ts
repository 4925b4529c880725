import type {AdmissionRefusal} from '@sardinestile/admission';
import {
  findServicePause,
  type Placement,
  type ServicePause,
} from '@sardinestile/fleet';
import {isFingerprint, type QuarantineVerdict} from '@sardinestile/quarantine';
import type {GatewayContext} from '../gateway_context.js';
import type {CallShare} from '../shared/fair_shares.js';
import type {Call} from './call.js';
import {promiseReturn} from './promise_return.js';
import {refuse, type GatewayRefusal} from './refuse.js';

/**
 * Shortest time until callers return whose service has all its zones out of service, in
 * milliseconds. Operators end that by hand at an unknown time, and callers that wait for
 * some seconds only are lost if they return later.
 */
const OUT_OF_SERVICE_RETRY_AFTER_MS = 1_000;

/** Refusal and reason by the cause of a pause. */
const PAUSE_REFUSALS: Readonly<
  Record<ServicePause['cause'], {code: GatewayRefusal; reason: string}>
> = {
  quiet: {code: 'upstreamsQuiet', reason: 'all asked for quiet'},
  limited: {code: 'upstreamsLimited', reason: 'their limits are reached'},
};

/**
 * Refuses a call that has not run if all upstreams of its service asked for time
 * without requests or have reached their limits. Returns whether it did.
 */
export function refuseIfPaused(
  context: GatewayContext,
  call: Call,
  nowMs: number,
): boolean {
  const pause = findServicePause(context.fleet, call.service, nowMs);
  if (!pause || call.mayHaveRun || call.response.headersSent) return false;
  const {code, reason} = PAUSE_REFUSALS[pause.cause];
  refuse(context, call, code, {
    retryAfterMs: promiseReturn(context, call, {roomAfterMs: pause.waitMs}),
    reason: `no upstream of ${call.service} takes a request for ${Math.round(pause.waitMs)} ms: ${reason}`,
  });
  return true;
}

/**
 * Refuses a call that has not run if the zones of all upstreams of its service are out
 * of service. Returns whether it did.
 */
export function refuseIfOutOfService(
  context: GatewayContext,
  call: Call,
): boolean {
  const {service, mayHaveRun, response} = call;
  const isOut = context.fleet.membership.isServiceOutOfService(service);
  if (!isOut || mayHaveRun || response.headersSent) return false;
  refuse(context, call, 'upstreamsOutOfService', {
    retryAfterMs: promiseReturn(context, call, {
      roomAfterMs: OUT_OF_SERVICE_RETRY_AFTER_MS,
    }),
    reason: `the zones of all upstreams of ${service} are out of service`,
  });
  return true;
}

/** Refuses a call, which has not run, because it or a part of its prompt crashes upstreams. */
export function refuseHarmful(
  context: GatewayContext,
  call: Call,
  {part, retryAfterMs}: QuarantineVerdict,
): void {
  const isWholeRequest = isFingerprint(part.partId);
  const what = isWholeRequest ? 'requests like this,' : 'the prompt part';
  refuse(context, call, isWholeRequest ? 'harmfulRequest' : 'harmfulPrompt', {
    retryAfterMs,
    reason: `${part.crashes} upstreams crashed under ${what} ${part.partId}`,
  });
}

/** Why a call was not admitted. */
interface Overload {
  placement: Placement;
  decision: AdmissionRefusal;
  share: CallShare | undefined;
}

/** Refuses a call, which has not run, because the upstreams have too much work for it. */
export function refuseOverload(
  context: GatewayContext,
  call: Call,
  {placement, decision, share}: Overload,
): void {
  const {expectedWaitMs, expectedFirstEventMs, upstream} = placement;
  const {roomAfterMs, allowedWaitMs} = decision;
  const beyondShare =
    share && share.coveredPart < 1
      ? `; the organisation's demand is ${share.excess.toFixed(1)} times its share`
      : '';
  refuse(context, call, 'overloaded', {
    retryAfterMs: promiseReturn(context, call, {roomAfterMs, share}),
    reason:
      `${upstream.id} is expected to start after ${Math.round(expectedWaitMs)} ms ` +
      `and to respond after ${Math.round(expectedFirstEventMs)} ms; ` +
      `the longest allowed wait is ${allowedWaitMs} ms${beyondShare}`,
  });
}
