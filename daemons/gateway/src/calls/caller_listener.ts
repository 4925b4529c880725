import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {trackConnections, type ConnectionEnd} from '@sardinestile/connections';
import type {CallerLimits} from '@sardinestile/route_table';
import {breakOff} from './response_framing.js';

/** Time limit for receiving a complete request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Interval at which Node.js checks connections for timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Time that idle connections stay open beyond the configured limit, in milliseconds. */
const IDLE_TIMEOUT_SLACK_MS = 1_000;

/** Connections that the operating system may queue before they are accepted. */
const ACCEPT_BACKLOG = 1_024;

/** Time without requests after which a draining listener stops, in milliseconds. */
const DRAIN_QUIET_MS = 1_200;

/**
 * Time for which a draining listener serves new requests, in milliseconds; load
 * balancers need two seconds to notice.
 */
const ACCEPT_WHILE_DRAINING_MS = 3_000;

/** Interval at which a draining listener checks whether it can stop, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 100;

/** Serves one request; resolves when the response was given. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options for `startCallerListener`. */
export interface CallerListenerOptions {
  host: string;
  port: number;
  maxHeaderBytes: number;
  handler: RequestHandler;
  /** Called when a connection has closed; `sinceStopMs` is undefined before the drain. */
  onConnectionEnded: (
    end: ConnectionEnd,
    sinceStopMs: number | undefined,
  ) => void;
  /** Called for a request that was read although its connection takes no response. */
  onUnanswerable: (
    request: IncomingMessage,
    sinceStopMs: number | undefined,
  ) => void;
}

/** HTTP server for callers. */
export interface CallerListener {
  applyLimits(limits: CallerLimits): void;
  readonly openRequests: number;
  /** Whether new requests must be refused, as they could not be finished before the stop. */
  readonly isRefusingRequests: boolean;
  /**
   * Closes each connection after its next response while new requests are
   * still served, later closes idle connections. Resolves when no request is
   * open and none has arrived lately, or when the limit has passed.
   */
  drain(limitMs: number): Promise<void>;
  /** Closes every connection at once. */
  close(): void;
}

/** Starts the HTTP server for callers; rejects if the address is in use. */
export async function startCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  let isDraining = false;
  let drainingSinceMs = Infinity;
  const openResponses = new Set<ServerResponse>();
  let lastRequestAtMs = performance.now();
  const sinceStopMs = () =>
    isDraining ? Math.round(performance.now() - drainingSinceMs) : undefined;
  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
    },
    (request, response) => {
      openResponses.add(response);
      lastRequestAtMs = performance.now();
      if (isDraining) response.shouldKeepAlive = false;
      void options.handler(request, response).finally(() => {
        openResponses.delete(response);
        lastRequestAtMs = performance.now();
        // A response that started before the drain announced keep-alive.
        if (!isDraining || !response.socket) return;
        tracker.noteReason(response.socket, 'answered');
        closeAfterResponse(response);
      });
    },
  );
  const tracker = trackConnections(server, {
    onEnded: end => options.onConnectionEnded(end, sinceStopMs()),
    onUnanswerable: request => options.onUnanswerable(request, sinceStopMs()),
  });
  server.maxRequestsPerSocket = 0;
  await listen(server, options);
  return {
    applyLimits({headerTimeoutMs, idleTimeoutMs}) {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_SLACK_MS;
    },
    get openRequests() {
      return openResponses.size;
    },
    get isRefusingRequests() {
      return performance.now() - drainingSinceMs > ACCEPT_WHILE_DRAINING_MS;
    },
    close() {
      server.close();
      openResponses.forEach(breakOff);
      server.closeAllConnections();
      tracker.noteDestroyed('drainLimit');
    },
    drain(limitMs) {
      isDraining = true;
      drainingSinceMs = performance.now();
      const drainEndAtMs = drainingSinceMs + limitMs;
      return new Promise(resolve => {
        const timer = setInterval(() => {
          const nowMs = performance.now();
          const hasStoppedAccepting =
            nowMs - drainingSinceMs > ACCEPT_WHILE_DRAINING_MS;
          if (hasStoppedAccepting) {
            server.closeIdleConnections();
            tracker.noteDestroyed('idle');
          }
          const isQuiet =
            hasStoppedAccepting &&
            openResponses.size === 0 &&
            nowMs - lastRequestAtMs > DRAIN_QUIET_MS;
          if (!isQuiet && nowMs < drainEndAtMs) return;
          clearInterval(timer);
          resolve();
        }, DRAIN_CHECK_INTERVAL_MS);
      });
    },
  };
}

/** Closes the connection of a response after it was sent completely. */
function closeAfterResponse(response: ServerResponse): void {
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
    server.listen({host, port, backlog: ACCEPT_BACKLOG}, () => resolve());
  });
}
