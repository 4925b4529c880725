import type {IncomingHttpHeaders} from 'node:http';
import {appendChunk} from '@sardinestile/memory';
import {startAttempt} from './attempt.js';
import {MAX_HELD_BYTES} from './relay_response.js';
import type {AttemptOutcome, Call} from './call.js';
import {createEventSplitter, MAX_EVENT_BYTES} from './event_splitter.js';
import {bufferResponse, isCloseDelimited} from './response_framing.js';
import {recordGap} from './call_records.js';
import type {GatewayContext} from '../gateway_context.js';
import {buildAttemptRequest, type PreparedAttempt} from './prepare_attempt.js';
import {createReadingPause} from './reading_pause.js';
import {applyUpstreamSignals} from '../upstreams/upstream_signals.js';

/** Callbacks of `relayStream`. */
export interface StreamObserver {
  /** Called when the first event of this attempt arrives. */
  onFirstEvent(nowMs: number): void;
  /** Called for each further event. */
  onEvent(nowMs: number): void;
}

/** Limits of the time between two checks whether a stream is silent, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 20;
const MAX_CHECK_INTERVAL_MS = 500;

/**
 * Sends a call whose response is an event stream and forwards complete events
 * in order. The headers are sent to the caller with the first event, so that
 * another upstream can be tried until then. If the upstream's stream ends
 * early, the response to the caller stays unfinished, so that another attempt
 * can resume it where the route allows that. Rejects if handling the end of the
 * response fails.
 */
export function relayStream(
  context: GatewayContext,
  call: Call,
  prepared: PreparedAttempt,
  observer: StreamObserver,
): Promise<AttemptOutcome> {
  const {headerCodec, clock, bufferCollector} = context;
  const {response, route, output} = call;
  return new Promise((resolve, reject) => {
    const splitter = createEventSplitter();
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    /** Body of a response that is not a stream. */
    const nonStreamBody: Buffer[] = [];
    let nonStreamBytes = 0;
    let heldPartialBytes = 0;
    let hasNewEvent = false;
    let lastProgressAtMs = clock.monotonicMs();
    let bytesSinceProgress = 0;
    let timer: NodeJS.Timeout | undefined;
    let isSettled = false;

    const finish = () => {
      isSettled = true;
      clearTimeout(timer);
      call.onInterrupt = undefined;
    };
    const settle = (outcome: AttemptOutcome) => {
      finish();
      if (outcome.kind !== 'heldAnswer') {
        call.account.set('heldResponse', 0);
      }
      resolve(outcome);
    };
    const failAttempt = (reason: string) => {
      attempt.abort();
      settle({kind: 'unknown', reason});
    };
    const isStream = () => status >= 200 && status < 300;
    /** A resumed stream may end without another event. */
    const hasAnyEvent = () => hasNewEvent || call.lastEventId !== undefined;
    const startResponse = () => {
      if (response.headersSent) return;
      response.writeHead(status, headerCodec.callerHeaders(headers));
    };
    /** Returns why the event cannot be forwarded, or undefined. */
    const forwardEvent = (
      bytes: Buffer,
      id: number | undefined,
      nowMs: number,
    ) => {
      if (id !== undefined) {
        const last = call.lastEventId;
        if (last !== undefined && id <= last) return undefined;
        if (last !== undefined && id > last + 1) {
          return `event ${id} arrived after event ${last}`;
        }
        call.lastEventId = id;
      }
      startResponse();
      output.write(bytes, nowMs);
      readingPause.update();
      return undefined;
    };
    /** Parts of events and comments are no progress: a stalled upstream may send them. */
    const recordProgress = (nowMs: number) => {
      output.recordEvent(nowMs);
      if (hasNewEvent) recordGap(context, call, nowMs - lastProgressAtMs);
      lastProgressAtMs = nowMs;
      bytesSinceProgress = 0;
      if (hasNewEvent) return observer.onEvent(nowMs);
      hasNewEvent = true;
      observer.onFirstEvent(nowMs);
    };
    const checkStall = () => {
      if (!route.isResumable || isSettled) return;
      const {beforeResponseMs, betweenEventsMs} = prepared.silence;
      if (beforeResponseMs === undefined && betweenEventsMs === undefined) {
        return;
      }
      const limitMs = hasNewEvent ? betweenEventsMs : beforeResponseMs;
      const leftMs =
        lastProgressAtMs + (limitMs ?? Infinity) - clock.monotonicMs();
      if (leftMs <= 0 && !readingPause.isPaused && prepared.canRepeat()) {
        failAttempt(`no event for ${Math.round(limitMs!)} ms`);
        return;
      }
      const checkAfterMs = Math.max(MIN_CHECK_INTERVAL_MS, leftMs);
      // While this process was busy, an event may have arrived without being read.
      timer = setTimeout(
        () => setImmediate(checkStall),
        Math.min(MAX_CHECK_INTERVAL_MS, checkAfterMs),
      );
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
        },
        onData(chunk) {
          bufferCollector.recordRead(chunk.length);
          if (!isStream()) {
            nonStreamBytes += chunk.length;
            if (nonStreamBytes > MAX_HELD_BYTES) {
              failAttempt(
                `the response with status ${status} exceeds ${MAX_HELD_BYTES} bytes`,
              );
              return;
            }
            appendChunk(nonStreamBody, chunk);
            call.account.set('heldResponse', nonStreamBytes);
            readingPause.updateHeld();
            return;
          }
          const nowMs = clock.monotonicMs();
          bytesSinceProgress += chunk.length;
          for (const {bytes, id, hasData} of splitter.push(chunk)) {
            if (hasData) recordProgress(nowMs);
            const gapReason = forwardEvent(bytes, id, nowMs);
            if (gapReason !== undefined) return failAttempt(gapReason);
          }
          const {partialBytes} = splitter;
          if (partialBytes !== heldPartialBytes) {
            heldPartialBytes = partialBytes;
            call.account.set('heldResponse', partialBytes);
            readingPause.updateHeld();
          }
          if (bytesSinceProgress > MAX_EVENT_BYTES) {
            failAttempt(`no complete event in ${bytesSinceProgress} bytes`);
          }
        },
        onEnd() {
          if (headerCodec.readResponse(headers).hasNotRun) {
            settle({
              kind: 'notRun',
              reason: `upstream refused with status ${status}`,
            });
          } else if (!isStream()) {
            const buffered = bufferResponse(
              headerCodec,
              status,
              headers,
              nonStreamBody,
            );
            settle({kind: 'heldAnswer', response: buffered});
          } else if (splitter.partialBytes > 0 || !hasAnyEvent()) {
            settle({
              kind: 'unknown',
              reason: 'the stream ended without a complete event',
              lostConnection: isCloseDelimited(headers)
                ? {hadHeaders: true}
                : undefined,
            });
          } else {
            startResponse();
            output.end();
            settle({
              kind: 'answered',
              status,
              isCloseDelimited: isCloseDelimited(headers),
            });
          }
        },
        onFailure({isSent, isBlocked, isConnectionLost, reason}) {
          if (!isSent) return settle({kind: 'notSent', isBlocked, reason});
          const unreadMs = isConnectionLost
            ? readingPause.unreadBeforeLossMs()
            : undefined;
          if (unreadMs !== undefined) {
            return settle({kind: 'cutOff', reason, unreadMs});
          }
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
    const readingPause = createReadingPause(context, call, attempt, () => {
      lastProgressAtMs = clock.monotonicMs();
    });
    call.onInterrupt = reason => {
      attempt.abort();
      settle({kind: 'interrupted', reason});
    };
    checkStall();
  });
}
