import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {CallerLimits} from '@sardinestile/route_table';

/** Time within which a whole request has to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Interval of the check for timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Time an idle connection is kept beyond the callers' limit, in milliseconds. */
const IDLE_SLACK_MS = 1_000;

/** Connections that may wait to be accepted. */
const BACKLOG = 1_024;

/** Time without requests after which a leaving listener closes, in milliseconds. */
const QUIET_MS = 1_200;

/** Time for which a leaving listener takes requests, in milliseconds; balancers need two seconds to notice. */
const STILL_TAKING_MS = 3_000;

/** Interval at which a leaving listener looks whether it is quiet, in milliseconds. */
const QUIET_CHECK_INTERVAL_MS = 100;

/** Serves one request; resolves when its answer was given. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Where callers connect, and who serves them. */
export interface CallerListenerOptions {
  host: string;
  port: number;
  maxHeaderBytes: number;
  handler: RequestHandler;
}

/** A listener for callers. */
export interface CallerListener {
  applyLimits(limits: CallerLimits): void;
  readonly openRequests: number;
  /** Whether requests that arrive now could not be finished before the stop. */
  readonly isClosing: boolean;
  /**
   * Lets each connection end with its next answer, serves on, then closes idle
   * connections, and ends once no request is open or the time is over.
   */
  drain(limitMs: number): Promise<void>;
  /** Closes every connection at once. */
  close(): void;
}

/** Starts to listen for callers; rejects if the address is taken. */
export async function startCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  let isLeaving = false;
  let leavingSinceMs = Infinity;
  let openRequests = 0;
  let lastRequestMs = performance.now();
  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
    },
    (request, response) => {
      openRequests++;
      lastRequestMs = performance.now();
      if (isLeaving) response.shouldKeepAlive = false;
      void options.handler(request, response).finally(() => {
        openRequests--;
        lastRequestMs = performance.now();
        // An answer that began before the leaving promised to keep its connection.
        if (isLeaving) endAfter(response);
      });
    },
  );
  server.maxRequestsPerSocket = 0;
  await listen(server, options);
  return {
    applyLimits({headerTimeoutMs, idleTimeoutMs}) {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs + IDLE_SLACK_MS;
    },
    get openRequests() {
      return openRequests;
    },
    get isClosing() {
      return performance.now() - leavingSinceMs > STILL_TAKING_MS;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
    drain(limitMs) {
      isLeaving = true;
      leavingSinceMs = performance.now();
      const endMs = leavingSinceMs + limitMs;
      return new Promise(resolve => {
        const timer = setInterval(() => {
          const nowMs = performance.now();
          const isPastTaking = nowMs - leavingSinceMs > STILL_TAKING_MS;
          if (isPastTaking) server.closeIdleConnections();
          const isQuiet =
            isPastTaking &&
            openRequests === 0 &&
            nowMs - lastRequestMs > QUIET_MS;
          if (!isQuiet && nowMs < endMs) return;
          clearInterval(timer);
          resolve();
        }, QUIET_CHECK_INTERVAL_MS);
      });
    },
  };
}

/** Closes a connection once the answer on it was sent whole. */
function endAfter(response: ServerResponse): void {
  const {socket} = response;
  if (!socket) return;
  if (response.writableFinished) socket.end();
  else response.once('finish', () => socket.end());
}

function listen(
  server: Server,
  {host, port}: CallerListenerOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: BACKLOG}, () => resolve());
  });
}
