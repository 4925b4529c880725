import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import type {UpstreamConnection} from './connection_pool.js';

/** A request as it is sent to an upstream. */
export interface AttemptRequest {
  method: string;
  path: string;
  /** Flat list of names and values. */
  headers: string[];
  body: Buffer | null;
}

/** Why an attempt ended without a whole answer. */
export interface AttemptFailure {
  /** Whether any byte of the request may have reached the upstream. */
  isSent: boolean;
  reason: string;
}

/** What happens to an attempt; at most one of `onEnd` and `onFailure` is called, last. */
export interface AttemptHandlers {
  onHeaders(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** A request on its way. */
export interface Attempt {
  /** Ends the attempt and closes its connection; no handler is called again. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends a request over a connection and gives the connection back after a whole answer. */
export function startAttempt(
  connection: UpstreamConnection,
  request: AttemptRequest,
  handlers: AttemptHandlers,
): Attempt {
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isOver = false;

  const finish = () => {
    if (isOver) return false;
    isOver = true;
    return true;
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
        if (isOver) started.abort(new Error('aborted before it was sent'));
        else isSent = true;
      },
      onResponseStart(_controller, status, headers) {
        // Interim answers say nothing about the outcome.
        if (status >= 200 && !isOver) handlers.onHeaders(status, headers);
      },
      onResponseData(_controller, chunk) {
        if (!isOver) handlers.onData(chunk);
      },
      onResponseEnd() {
        if (!finish()) return;
        if (connection.wasReset()) {
          const reason = 'the connection was reset within the answer';
          handlers.onFailure({isSent, reason});
          return;
        }
        connection.release();
        handlers.onEnd();
      },
      onResponseError(_controller, error) {
        connection.destroy();
        if (finish()) handlers.onFailure({isSent, reason: error.message});
      },
    },
  );
  return {
    abort() {
      if (!finish()) return;
      controller?.abort(new Error('aborted'));
      connection.destroy();
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}
