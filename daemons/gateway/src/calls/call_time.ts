import type {Call} from './call.js';

/** Returns the time until the call's complete response comes too late, in milliseconds. */
export function completeTimeLeftMs(call: Call, nowMs: number): number {
  return Math.min(call.routeDeadlineAtMs, call.callerDeadlineAtMs) - nowMs;
}

/**
 * Returns the time until the response, or the next event of a stream, comes too late.
 * Callers of a stream leave some time after the last event that they got.
 */
export function responseTimeLeftMs(call: Call, nowMs: number): number {
  const {callerPatienceMs = Infinity} = call.route;
  const lastAtMs = call.lastEventAtMs ?? call.arrivedAtMs;
  const patienceLeftMs = callerPatienceMs - (nowMs - lastAtMs);
  return Math.min(patienceLeftMs, completeTimeLeftMs(call, nowMs));
}

/** Returns `responseTimeLeftMs` of a new request that the caller would make now. */
export function renewedTimeLeftMs(call: Call, nowMs: number): number {
  const {callerPatienceMs = Infinity} = call.route;
  return Math.min(callerPatienceMs, completeTimeLeftMs(call, nowMs));
}
