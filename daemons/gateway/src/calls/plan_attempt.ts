import {decideAdmission} from '@sardinestile/admission';
import {placeRequest, type Placement} from '@sardinestile/fleet';
import type {GatewayContext} from '../gateway_context.js';
import type {CallShare} from '../shared/fair_shares.js';
import {connectionShare} from '../upstreams/connection_share.js';
import type {Call} from './call.js';
import {
  completeTimeLeftMs,
  renewedTimeLeftMs,
  responseTimeLeftMs,
} from './call_time.js';

/** Chooses an upstream for the next attempt of a call; undefined if none takes it. */
export function choosePlacement(
  context: GatewayContext,
  call: Call,
  nowMs: number,
) {
  const {requestMetadata, service, urgency, triedUpstreamIds, route} = call;
  const request = {
    requestId: call.requestId,
    service,
    promptTokens: requestMetadata.promptTokens,
    promptParts: requestMetadata.promptParts,
    urgency,
    targetLatencyMs: route.targetLatencyMs,
    targetGapMs: route.targetGapMs,
    triedUpstreamIds: triedUpstreamIds,
    softwareVersion: call.streamVersion,
  };
  return placeRequest(context.fleet, request, nowMs);
}

/** What the admission of an attempt depends on, beside its call. */
export interface AttemptPlan {
  placement: Placement;
  /** Share of the call's organisation; absent if it is not decided about. */
  share: CallShare | undefined;
  /** Bound of the expected service times of the route. */
  routeServiceTimeMs: number;
  nowMs: number;
}

/** Returns the expected time to the response, or to the first event, after the wait, in milliseconds. */
export function serviceTimeOf({
  expectedFirstEventMs,
  expectedWaitMs,
}: Placement) {
  return expectedFirstEventMs - expectedWaitMs;
}

/** Decides whether an upstream would answer a call in the time of its caller. */
export function admitAttempt(
  {responseTimes}: GatewayContext,
  call: Call,
  {placement, share, routeServiceTimeMs, nowMs}: AttemptPlan,
) {
  const {name: route, kind} = call.route;
  const serviceTimeMs = serviceTimeOf(placement);
  return decideAdmission({
    waitMs: placement.expectedWaitMs,
    serviceTimeMs,
    usualServiceTimeMs: serviceTimeMs / placement.state.health.slowness,
    routeServiceTimeMs,
    error: responseTimes.errorOf(call.service),
    restMs: kind === 'stream' ? responseTimes.streamRestMs(route) : 0,
    timeLeftMs: responseTimeLeftMs(call, nowMs),
    renewedTimeLeftMs: renewedTimeLeftMs(call, nowMs),
    completeTimeLeftMs: completeTimeLeftMs(call, nowMs),
    share,
  });
}

/** Returns how many connections this gateway may open to an upstream of the call's service. */
export function connectionLimit(
  {fleet, gateways, routes}: GatewayContext,
  {service: name}: Call,
): number {
  const maxConnections = routes()?.findService(name)?.maxConnections;
  return connectionShare(fleet, gateways, {name, maxConnections});
}
