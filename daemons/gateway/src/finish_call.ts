import {leaveUnframed} from './answer_framing.js';
import type {BufferedAnswer, Call, InterruptReason} from './call.js';
import type {GatewayContext} from './gateway_context.js';
import {refuse, type GatewayRefusal} from './refuse.js';

/** When callers may return after an upstream refused or could not be reached, in milliseconds. */
const UNREACHED_RETRY_AFTER_MS = 250;

/** Gives the final answer of a call of which no attempt was passed on whole. */
export function finishCall(
  context: GatewayContext,
  call: Call,
  heldAnswer: BufferedAnswer | undefined,
  reason: string,
): void {
  const {response} = call;
  if (response.headersSent) {
    // The caller must not take what it has for the whole answer.
    response.destroy();
    return;
  }
  if (heldAnswer) {
    passOn(call, heldAnswer);
    return;
  }
  if (call.mayHaveRun) {
    refuse(context, call, 'upstreamFailed', {reason});
    return;
  }
  const code: GatewayRefusal =
    call.triedIds.size > 0 ? 'notTaken' : 'noUpstream';
  refuse(context, call, code, {reason, retryAfterMs: UNREACHED_RETRY_AFTER_MS});
}

/** Ends a call whose caller has left or whose time is over. */
export function endInterrupted(
  context: GatewayContext,
  call: Call,
  reason: InterruptReason,
): void {
  context.metrics.increment('sardinestile_calls_interrupted_total', {reason});
  if (reason === 'callerLeft') return;
  if (call.response.headersSent) {
    call.response.destroy();
    return;
  }
  refuse(context, call, 'timedOut');
}

function passOn({response}: Call, answer: BufferedAnswer): void {
  const {status, headers, body} = answer;
  if (answer.isUnframed) {
    leaveUnframed(response);
    response.writeHead(status, headers);
  } else {
    response.writeHead(status, {...headers, 'content-length': body.length});
  }
  response.end(body);
}
