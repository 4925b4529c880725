import type {IncomingHttpHeaders} from 'node:http';
import {startAttempt} from './attempt.js';
import type {AttemptOutcome, Call} from './call.js';
import {holdAnswer, isUnframed, leaveUnframed} from './answer_framing.js';
import type {GatewayContext} from './gateway_context.js';
import {
  attemptRequest,
  isOwnAnswer,
  type PreparedAttempt,
} from './prepare_attempt.js';

/** Largest answer that is held back until it is whole, in bytes. */
const MAX_HELD_BYTES = 1_048_576;

/** Sends a call whose answer is not a stream, and returns what came of it. */
export function relayAnswer(
  context: GatewayContext,
  call: Call,
  prepared: PreparedAttempt,
): Promise<AttemptOutcome> {
  const {dialect} = context;
  return new Promise(resolve => {
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    let chunks: Buffer[] = [];
    let heldBytes = 0;
    let isPassing = false;
    let timer: NodeJS.Timeout | undefined;

    const settle = (outcome: AttemptOutcome) => {
      clearTimeout(timer);
      call.onInterrupt = undefined;
      resolve(outcome);
    };
    const passOn = () => {
      if (isUnframed(headers)) leaveUnframed(call.response);
      call.response.writeHead(status, answerHeaders(context, headers));
      for (const chunk of chunks) call.response.write(chunk);
      chunks = [];
      isPassing = true;
    };
    const attempt = startAttempt(
      prepared.connection,
      attemptRequest(context, call, prepared),
      {
        onHeaders(answerStatus, answerHeader) {
          status = answerStatus;
          headers = answerHeader;
          clearTimeout(timer);
          if (isOwnAnswer(context, call, headers)) return;
          attempt.abort();
          settle({
            kind: 'unknown',
            reason: 'the answer is for another request',
          });
        },
        onData(chunk) {
          if (isPassing) {
            if (call.response.write(chunk)) return;
            attempt.pause();
            call.response.once('drain', () => attempt.resume());
            return;
          }
          chunks.push(chunk);
          heldBytes += chunk.length;
          if (heldBytes > MAX_HELD_BYTES && isSuccess(status)) passOn();
        },
        onEnd() {
          if (isPassing) {
            call.response.end();
            settle({kind: 'answered', status});
            return;
          }
          if (dialect.readAnswer(headers).isNotRun) {
            settle({kind: 'notRun', reason: `upstream refused: ${status}`});
            return;
          }
          const answer = holdAnswer(dialect, status, headers, chunks);
          settle({kind: 'heldAnswer', answer});
        },
        onFailure({isSent, reason}) {
          if (isPassing) call.response.destroy();
          settle({kind: isSent ? 'unknown' : 'notSent', reason});
        },
      },
    );
    call.onInterrupt = reason => {
      attempt.abort();
      settle({kind: 'interrupted', reason});
    };
    if (prepared.giveUpMs !== undefined) {
      timer = setTimeout(() => {
        attempt.abort();
        settle({kind: 'unknown', reason: 'no answer in the expected time'});
      }, prepared.giveUpMs);
    }
  });
}

function answerHeaders(context: GatewayContext, headers: IncomingHttpHeaders) {
  const length = headers['content-length'];
  return {
    ...context.dialect.callerHeaders(headers),
    ...(length === undefined ? {} : {'content-length': length}),
  };
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
