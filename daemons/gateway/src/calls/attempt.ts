import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {RESET_BY_UPSTREAM_CODE} from '@sardinestile/upstream_connections';
import type {UpstreamConnection} from '../upstreams/connection_pool.js';
import type {ResponseReceipt} from './response_receipt.js';

/** Codes of errors that mean that the upstream's end of the connection is gone. */
const LOST_CONNECTION_CODES: ReadonlySet<string> = new Set([
  RESET_BY_UPSTREAM_CODE,
  'EPIPE',
  'UND_ERR_SOCKET',
]);

/** Greatest status of a response; the parser of HTTP takes any of three digits. */
const MAX_STATUS = 599;

/** Request to send to an upstream. */
export interface AttemptRequest {
  method: string;
  path: string;
  /** Header names and values, alternating. */
  headers: string[];
  body: Buffer | null;
  /** Returns why the request must not be sent any more; undefined if it may be. */
  findSendBlocker: () => string | undefined;
}

/** Failure of an attempt that got no complete response. */
export interface AttemptFailure {
  /** Whether any byte of the request may have reached the upstream. */
  isSent: boolean;
  /** Whether it was not sent because `findSendBlocker` returned a reason. */
  isBlocked: boolean;
  /** Whether the connection ended or was reset, rather than carried an invalid response. */
  isConnectionLost: boolean;
  reason: string;
}

/** Callbacks of an attempt. At most one of `onEnd` and `onFailure` is called, as the last one. */
export interface AttemptHandlers {
  onHeaders(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
  /** Called if `onEnd` or `onFailure` throws; the attempt is over. */
  onError(error: unknown): void;
}

/** What carries a request and its response. */
export interface AttemptTransport {
  connection: UpstreamConnection;
  /** Decides whether what arrives is the response. */
  receipt: ResponseReceipt;
}

/** A request in progress. */
export interface Attempt {
  /** Ends the attempt and closes its connection; no handler is called again. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends a request over a connection and releases the connection after a complete response. */
export function startAttempt(
  {connection, receipt}: AttemptTransport,
  request: AttemptRequest,
  handlers: AttemptHandlers,
): Attempt {
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isFinished = false;
  let blocker: string | undefined;

  const finish = () => {
    if (isFinished) return false;
    isFinished = true;
    return true;
  };
  /** The client would drop what the last handler throws, as the response has ended. */
  const conclude = (handler: () => void) => {
    try {
      handler();
    } catch (error) {
      handlers.onError(error);
    }
  };
  const abort = () => {
    controller?.abort(new Error('aborted'));
    connection.destroy();
  };
  /** Fails the attempt, as what arrives is not its response, which may still follow. */
  const rejectResponse = (reason: string) => {
    if (!finish()) return;
    abort();
    const failure = {isBlocked: false, isConnectionLost: false, reason};
    conclude(() => handlers.onFailure({isSent, ...failure}));
  };
  connection.client.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body,
    },
    {
      onRequestStart(started) {
        controller = started;
        // The request may have waited for its connection.
        blocker = isFinished
          ? 'aborted before sending'
          : request.findSendBlocker();
        connection.recordProgress();
        if (blocker === undefined) isSent = true;
        else started.abort(new Error(blocker));
      },
      onResponseStart(_controller, status, headers) {
        // 1xx responses are interim; the final response follows.
        if (status < 200 || isFinished) return;
        connection.recordProgress();
        const defect =
          status > MAX_STATUS
            ? `the response has the status ${status}`
            : receipt.begin(headers);
        if (defect === undefined) handlers.onHeaders(status, headers);
        else rejectResponse(defect);
      },
      onResponseData(_controller, chunk) {
        // undici passes an empty chunk when it reads on; to stop reading again for it would
        // leave the end of the response unread.
        if (isFinished || chunk.length === 0) return;
        connection.recordProgress();
        const defect = receipt.add(chunk);
        if (defect === undefined) handlers.onData(chunk);
        else rejectResponse(defect);
      },
      onResponseEnd() {
        if (!finish()) return;
        connection.release();
        conclude(() => handlers.onEnd());
      },
      onResponseError(_controller, error) {
        connection.destroy();
        if (!finish()) return;
        const isConnectionLost = LOST_CONNECTION_CODES.has(
          (error as NodeJS.ErrnoException).code ?? '',
        );
        const reason = error.message;
        const isBlocked = blocker !== undefined;
        conclude(() =>
          handlers.onFailure({isSent, isBlocked, isConnectionLost, reason}),
        );
      },
    },
  );
  return {
    abort() {
      if (finish()) abort();
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}
