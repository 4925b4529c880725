import {breakOff} from './response_framing.js';
import type {BufferedResponse, Call, InterruptReason} from './call.js';
import type {GatewayContext} from '../gateway_context.js';
import {promiseReturn} from './promise_return.js';
import {refuse, type GatewayRefusal} from './refuse.js';

/** Ends a call after its last attempt, if no attempt sent a complete response to the caller. */
export function finishCall(
  context: GatewayContext,
  call: Call,
  heldResponse: BufferedResponse | undefined,
  reason: string,
): void {
  const {response} = call;
  if (response.headersSent) {
    context.logger.info('call_broken_off', {requestId: call.requestId, reason});
    breakOff(response);
    return;
  }
  if (heldResponse) {
    sendBufferedResponse(call, heldResponse);
    return;
  }
  if (call.mayHaveRun) {
    refuse(context, call, 'upstreamFailed', {reason});
    return;
  }
  const code: GatewayRefusal =
    call.triedUpstreamIds.size > 0 ? 'notTaken' : 'noUpstream';
  // Full upstreams take the next request when one of theirs ends.
  const retryAfterMs = promiseReturn(context, call, {roomAfterMs: 0});
  refuse(context, call, code, {reason, retryAfterMs});
}

/** Ends a call that was interrupted while an upstream may have run it. */
export function endInterrupted(
  context: GatewayContext,
  call: Call,
  reason: InterruptReason,
): void {
  context.metrics.increment('sardinestile_calls_interrupted_total', {reason});
  if (reason === 'callerLeft') return;
  if (call.response.headersSent) {
    breakOff(call.response);
    return;
  }
  if (reason !== 'shutdown') refuse(context, call, 'timedOut');
  else if (call.attempts > 0) refuse(context, call, 'unansweredAtStop');
  else refuse(context, call, 'shuttingDown');
}

function sendBufferedResponse(
  {response, output, account}: Call,
  buffered: BufferedResponse,
): void {
  const {status, headers, parts, isCloseDelimited} = buffered;
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  // Without a length it goes in chunks: the system closes the connections of a killed process
  // in order, so that their close must not be what marks an end.
  response.writeHead(
    status,
    isCloseDelimited ? headers : {...headers, 'content-length': length},
  );
  account.set('heldResponse', 0);
  output.end(parts);
}
