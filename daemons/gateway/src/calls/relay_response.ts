import type {IncomingHttpHeaders} from 'node:http';
import {appendChunk} from '@sardinestile/memory';
import {startAttempt} from './attempt.js';
import type {AttemptOutcome, Call} from './call.js';
import {
  breakOff,
  bufferResponse,
  isCloseDelimited,
} from './response_framing.js';
import type {GatewayContext} from '../gateway_context.js';
import {buildAttemptRequest, type PreparedAttempt} from './prepare_attempt.js';
import {createReadingPause} from './reading_pause.js';
import {applyUpstreamSignals} from '../upstreams/upstream_signals.js';

/** Size up to which a response is buffered until it is complete, in bytes. */
export const MAX_HELD_BYTES = 1_048_576;

/** Size up to which a response is buffered while memory is short, in bytes. */
const MAX_HELD_BYTES_WHEN_SHORT = 65_536;

/**
 * Sends a call whose response is not a stream. Returns the complete response;
 * a successful one that exceeds the buffer is forwarded to the caller instead.
 * Rejects if handling the end of the response fails.
 */
export function relayResponse(
  context: GatewayContext,
  call: Call,
  prepared: PreparedAttempt,
): Promise<AttemptOutcome> {
  const {headerCodec, memoryBudget, bufferCollector} = context;
  return new Promise((resolve, reject) => {
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    let parts: Buffer[] = [];
    let heldBytes = 0;
    let isForwarding = false;
    let timer: NodeJS.Timeout | undefined;
    let isSettled = false;

    const finish = () => {
      isSettled = true;
      clearTimeout(timer);
      call.onInterrupt = undefined;
    };
    const settle = (outcome: AttemptOutcome) => {
      finish();
      if (outcome.kind !== 'heldAnswer' && !isForwarding) {
        call.account.set('heldResponse', 0);
      }
      resolve(outcome);
    };
    const maxHeldBytes = () =>
      isSuccess(status) &&
      memoryBudget.shouldForward() &&
      !headerCodec.readResponse(headers).hasNotRun
        ? MAX_HELD_BYTES_WHEN_SHORT
        : MAX_HELD_BYTES;
    const forwardHeld = () => {
      call.response.writeHead(status, callerResponseHeaders(context, headers));
      const nowMs = context.clock.monotonicMs();
      call.account.set('heldResponse', 0);
      for (const part of parts) call.output.write(part, nowMs);
      parts = [];
      isForwarding = true;
      if (prepared.connection.unsentBytes() === 0) call.dropBody();
    };
    const attempt = startAttempt(
      prepared,
      buildAttemptRequest(context, call, prepared),
      {
        onHeaders(responseStatus, responseHeaders) {
          status = responseStatus;
          headers = responseHeaders;
          const {upstream} = prepared.placement;
          const sentAtMs = prepared.startedAtMs;
          applyUpstreamSignals(context, upstream, {status, headers, sentAtMs});
          clearTimeout(timer);
        },
        onData(chunk) {
          bufferCollector.recordRead(chunk.length);
          heldBytes += chunk.length;
          if (!isForwarding && heldBytes <= maxHeldBytes()) {
            appendChunk(parts, chunk);
            call.account.set('heldResponse', heldBytes);
            readingPause.updateHeld();
            return;
          }
          if (isForwarding || isSuccess(status)) {
            if (!isForwarding) forwardHeld();
            call.output.write(chunk, context.clock.monotonicMs());
            readingPause.update();
            return;
          }
          attempt.abort();
          settle({
            kind: 'unknown',
            reason: `the response with status ${status} exceeds ${MAX_HELD_BYTES} bytes`,
          });
        },
        onEnd() {
          if (isForwarding) {
            call.output.end();
            settle({
              kind: 'answered',
              status,
              isCloseDelimited: isCloseDelimited(headers),
            });
            return;
          }
          if (headerCodec.readResponse(headers).hasNotRun) {
            settle({
              kind: 'notRun',
              reason: `upstream refused with status ${status}`,
            });
            return;
          }
          const buffered = bufferResponse(headerCodec, status, headers, parts);
          settle({kind: 'heldAnswer', response: buffered});
        },
        onFailure({isSent, isBlocked, isConnectionLost, reason}) {
          const unreadMs = isConnectionLost
            ? readingPause.unreadBeforeLossMs()
            : undefined;
          if (unreadMs !== undefined) {
            return settle({kind: 'cutOff', reason, unreadMs});
          }
          if (isForwarding) breakOff(call.response);
          if (!isSent) return settle({kind: 'notSent', isBlocked, reason});
          const lostConnection = isConnectionLost
            ? {hadHeaders: status > 0}
            : undefined;
          settle({kind: 'unknown', reason, lostConnection});
        },
        onError(error) {
          finish();
          reject(error as Error);
        },
      },
    );
    const readingPause = createReadingPause(
      context,
      call,
      attempt,
      () => undefined,
    );
    call.onInterrupt = reason => {
      attempt.abort();
      settle({kind: 'interrupted', reason});
    };
    const {beforeResponseMs} = prepared.silence;
    const endSilentAttempt = () => {
      if (status > 0 || isSettled) return;
      if (!prepared.canRepeat()) return awaitResponse();
      attempt.abort();
      const reason = `no response for ${Math.round(beforeResponseMs!)} ms`;
      settle({kind: 'unknown', reason});
    };
    const awaitResponse = () => {
      // While this process was busy, the response may have arrived without being read.
      timer = setTimeout(
        () => setImmediate(endSilentAttempt),
        beforeResponseMs,
      );
    };
    if (beforeResponseMs !== undefined) awaitResponse();
  });
}

function callerResponseHeaders(
  context: GatewayContext,
  headers: IncomingHttpHeaders,
) {
  const length = headers['content-length'];
  return {
    ...context.headerCodec.callerHeaders(headers),
    ...(length === undefined ? {} : {'content-length': length}),
  };
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
