import type {CallShare} from '../shared/fair_shares.js';
import type {GatewayContext} from '../gateway_context.js';
import type {Call} from './call.js';
import {completeTimeLeftMs} from './call_time.js';

/** When a refused call would be admitted. */
export interface ExpectedRoom {
  roomAfterMs: number;
  /** Absent if the organisation is within its share. */
  share?: CallShare;
}

/**
 * Returns the time after which the caller of a refused call may return, in milliseconds.
 * Callers of an organisation beyond its share take turns at the rate of the share.
 */
export function promiseReturn(
  {returns, responseTimes, clock}: GatewayContext,
  call: Call,
  {roomAfterMs, share}: ExpectedRoom,
): number {
  const nowMs = clock.monotonicMs();
  const isBeyondShare = share !== undefined && share.coveredPart < 1;
  const {name: route} = call.route;
  const workMs =
    responseTimes.serviceTimeMs(route) + responseTimes.streamRestMs(route);
  const queue = isBeyondShare
    ? `${call.service} ${call.organisation?.name ?? ''}`
    : call.service;
  const caller = {
    urgency: call.urgency,
    roomAfterMs: isBeyondShare
      ? Math.max(roomAfterMs, share.withinShareAfterMs)
      : roomAfterMs,
    latestReturnMs: completeTimeLeftMs(call, nowMs) - workMs,
    intervalMs: isBeyondShare ? share.turnIntervalMs : undefined,
  };
  return returns.promiseTurn(queue, caller, nowMs);
}
