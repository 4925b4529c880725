import type {IncomingHttpHeaders} from 'node:http';
import {startAttempt} from './attempt.js';
import type {AttemptOutcome, Call} from './call.js';
import {createEventSplitter} from './event_splitter.js';
import {holdAnswer, isUnframed, leaveUnframed} from './answer_framing.js';
import {recordGap} from './call_records.js';
import type {GatewayContext} from './gateway_context.js';
import {
  attemptRequest,
  isOwnAnswer,
  type PreparedAttempt,
} from './prepare_attempt.js';

/** What the relay of a stream is told. */
export interface StreamObserver {
  /** The first event of this attempt came. */
  onFirstEvent(nowMs: number): void;
}

/** Silence within a stream after which it is given up, as a multiple of the gap that callers want. */
const SILENCE_GAPS = 5;

/** Shortest silence after which a stream is given up, in milliseconds. */
const MIN_SILENCE_MS = 600;

/** Gap that is assumed where a route names none, in milliseconds. */
const DEFAULT_GAP_MS = 400;

/**
 * Sends a call whose answer is a stream and passes on whole events in order.
 * Headers go out with the first event, so that another upstream can still be
 * tried before it. A stream that ends early leaves the response unfinished.
 */
export function relayStream(
  context: GatewayContext,
  call: Call,
  prepared: PreparedAttempt,
  observer: StreamObserver,
): Promise<AttemptOutcome> {
  const {dialect, clock} = context;
  const {response, route} = call;
  const silenceMs = Math.max(
    MIN_SILENCE_MS,
    SILENCE_GAPS * (route.targetGapMs ?? DEFAULT_GAP_MS),
  );
  return new Promise(resolve => {
    const splitter = createEventSplitter();
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    /** Body of an answer that is not a stream. */
    const failureBody: Buffer[] = [];
    let hasEvents = false;
    let lastSignMs = clock.monotonicMs();
    let timer: NodeJS.Timeout | undefined;

    const settle = (outcome: AttemptOutcome) => {
      clearTimeout(timer);
      call.onInterrupt = undefined;
      resolve(outcome);
    };
    const breakOff = (reason: string) => {
      attempt.abort();
      settle({kind: 'unknown', reason});
    };
    const isStream = () => status >= 200 && status < 300;
    /** A stream that goes on after an event may have nothing left. */
    const hasAny = () => hasEvents || call.lastEventId !== undefined;
    const startResponse = () => {
      if (response.headersSent) return;
      if (isUnframed(headers)) leaveUnframed(response);
      response.writeHead(status, dialect.callerHeaders(headers));
    };
    /** Returns why the event cannot follow, or undefined. */
    const passOn = (bytes: Buffer, id: number | undefined) => {
      if (id !== undefined) {
        const last = call.lastEventId;
        if (last !== undefined && id <= last) return undefined;
        if (last !== undefined && id > last + 1) {
          return `event ${id} came after event ${last}`;
        }
        call.lastEventId = id;
      }
      startResponse();
      if (!response.write(bytes)) {
        attempt.pause();
        response.once('drain', () => {
          lastSignMs = clock.monotonicMs();
          attempt.resume();
        });
      }
      return undefined;
    };
    const watchSilence = () => {
      if (!route.isResumable) return;
      const limitMs = hasEvents ? silenceMs : prepared.giveUpMs;
      if (limitMs === undefined) return;
      const leftMs = lastSignMs + limitMs - clock.monotonicMs();
      if (leftMs <= 0 && !response.writableNeedDrain) {
        breakOff(`silent for ${Math.round(limitMs)} ms`);
        return;
      }
      timer = setTimeout(watchSilence, Math.max(20, leftMs));
    };
    const attempt = startAttempt(
      prepared.connection,
      attemptRequest(context, call, prepared),
      {
        onHeaders(answerStatus, answerHeaders) {
          status = answerStatus;
          headers = answerHeaders;
          if (!isOwnAnswer(context, call, headers)) {
            breakOff('the answer is for another request');
          }
        },
        onData(chunk) {
          if (!isStream()) {
            failureBody.push(chunk);
            return;
          }
          const nowMs = clock.monotonicMs();
          if (hasEvents) recordGap(context, call, nowMs - lastSignMs);
          lastSignMs = nowMs;
          for (const {bytes, id} of splitter.push(chunk)) {
            if (!hasEvents) {
              hasEvents = true;
              observer.onFirstEvent(lastSignMs);
            }
            const fault = passOn(bytes, id);
            if (fault !== undefined) return breakOff(fault);
          }
          if (splitter.isTooLong) breakOff('an event is too long');
        },
        onEnd() {
          if (dialect.readAnswer(headers).isNotRun) {
            settle({kind: 'notRun', reason: `upstream refused: ${status}`});
          } else if (!isStream()) {
            const answer = holdAnswer(dialect, status, headers, failureBody);
            settle({kind: 'heldAnswer', answer});
          } else if (splitter.hasPartial || !hasAny()) {
            settle({
              kind: 'unknown',
              reason: 'the stream ended within an event',
            });
          } else {
            startResponse();
            response.end();
            settle({kind: 'answered', status});
          }
        },
        onFailure({isSent, reason}) {
          settle({kind: isSent ? 'unknown' : 'notSent', reason});
        },
      },
    );
    call.onInterrupt = reason => {
      attempt.abort();
      settle({kind: 'interrupted', reason});
    };
    watchSilence();
  });
}
