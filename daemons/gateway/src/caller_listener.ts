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
  /**
   * Lets each connection end with its next answer, serves on, and closes once
   * no request came for a while or the time is over.
   */
  drain(limitMs: number): Promise<void>;
}

/** Starts to listen for callers; rejects if the address is taken. */
export async function startCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  let isLeaving = false;
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
    drain(limitMs) {
      isLeaving = true;
      lastRequestMs = performance.now();
      const endMs = lastRequestMs + limitMs;
      return new Promise(resolve => {
        const timer = setInterval(() => {
          const nowMs = performance.now();
          const isQuiet = openRequests === 0 && nowMs - lastRequestMs > QUIET_MS;
          if (!isQuiet && nowMs < endMs) return;
          clearInterval(timer);
          server.close();
          server.closeIdleConnections();
          resolve();
        }, QUIET_CHECK_INTERVAL_MS);
      });
    },
  };
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
