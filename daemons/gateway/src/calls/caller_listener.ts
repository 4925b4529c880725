import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  afterPoll,
  finishAccepting,
  manageConnections,
  MANAGED_SERVER_OPTIONS,
  MAX_UNREAD_MS,
  startHeapGuard,
  stopAccepting,
  type AddressOpener,
  type ConnectionEnd,
  type HeapBudget,
  type InputBoundary,
} from '@sardinestile/connections';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {CallerLimits} from '@sardinestile/route_table';
import {createCallerTotals, type CallerTotals} from './caller_totals.js';
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
 * Time after the signal for which a draining listener serves new requests, in
 * milliseconds. Load balancers need two seconds to notice; what is sent later must be
 * refused, as it may not be finished before the stop.
 */
const ACCEPT_WHILE_DRAINING_MS = 3_000;

/**
 * Time before its limit at which a draining listener stops accepting connections, and the part
 * of it within which it accepts those that wait, in milliseconds. The rest is for refusals.
 */
const LAST_CONNECTIONS_MS = 1_500;
const MAX_LAST_ACCEPT_MS = 1_000;

/** Interval at which a draining listener checks whether it can stop, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 100;

/** Interval at which `finish` checks whether all responses were sent, in milliseconds. */
const SENT_CHECK_MS = 10;

/** Serves one request; resolves when the response was given. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options for `createCallerListener`. */
export interface CallerListenerOptions {
  host: string;
  port: number;
  /** Limit of headers until the configuration is known, in bytes. */
  maxHeaderBytes: number;
  heapBudget: HeapBudget;
  logger: Logger;
  metrics: MetricsRegistry;
  handler: RequestHandler;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
  /** Called when a connection has closed; `sinceStopMs` is undefined before the drain. */
  onConnectionEnded: (
    end: ConnectionEnd,
    sinceStopMs: number | undefined,
  ) => void;
  /** Called for a request that is not served, as its connection had announced its end. */
  onUnanswerable: (
    request: IncomingMessage,
    sinceStopMs: number | undefined,
  ) => void;
}

/** HTTP server for callers. */
export interface CallerListener {
  /** Begins to serve callers; rejects if the address does not become available. */
  open(addresses: AddressOpener): Promise<void>;
  applyLimits(limits: CallerLimits): void;
  readonly openRequests: number;
  /** Returns what became of all requests so far. */
  totals(): CallerTotals;
  /** Whether new requests must be refused, as they could not be finished before the stop. */
  readonly isRefusingRequests: boolean;
  /**
   * Closes each connection after its next response while new requests are still served,
   * later idle connections, and at last accepts no more. Resolves when all responses were
   * delivered and no request has arrived lately, or when the limit has passed. `signalledAtMs`
   * is the earliest time by performance.now() at which the signal may have been sent.
   */
  drain(limitMs: number, signalledAtMs: number): Promise<void>;
  /** Answers what has arrived. Resolves when all responses were sent, or after the limit. */
  finish(limitMs: number): Promise<void>;
  /** Closes every connection at once. */
  close(): void;
}

/** Creates the HTTP server for callers, which serves none until it is opened. */
export function createCallerListener(
  options: CallerListenerOptions,
): CallerListener {
  const {heapBudget, logger, metrics} = options;
  let headerLimitBytes = options.maxHeaderBytes;
  let drainingSinceMs: number | undefined;
  const sinceStopMs = () =>
    drainingSinceMs === undefined
      ? undefined
      : Math.round(performance.now() - drainingSinceMs);
  const isRefusingRequests = () =>
    (sinceStopMs() ?? 0) > ACCEPT_WHILE_DRAINING_MS;
  const totals = createCallerTotals();
  const server = createServer({
    ...MANAGED_SERVER_OPTIONS,
    maxHeaderSize: options.maxHeaderBytes,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    noDelay: true,
  });
  const connections = manageConnections(server, {
    handler: options.handler,
    boundary: options.boundary,
    input: 'callerRequest',
    onEnded(end) {
      totals.recordConnectionEnd(end);
      options.onConnectionEnded(end, sinceStopMs());
    },
    onUnanswerable(request) {
      totals.recordUnanswerable();
      options.onUnanswerable(request, sinceStopMs());
    },
    onTaken(request) {
      totals.recordRequest();
      return heapBudget.openRequest(request);
    },
    mayWait: () => heapBudget.step() === 'none',
  });
  server.on('connection', () => totals.recordConnection());
  const stopHeapGuard = startHeapGuard({
    server,
    connections,
    budget: heapBudget,
    logger,
    metrics,
  });
  server.maxRequestsPerSocket = 0;
  let listenerClose: Promise<void> | undefined;
  /** Whether connections are being accepted that nobody reads yet. */
  let isAcceptingLast = false;
  const closeListener = (limitMs: number) => {
    listenerClose ??= (async () => {
      const startMs = performance.now();
      isAcceptingLast = true;
      const {count, isComplete} = await finishAccepting(server, limitMs);
      isAcceptingLast = false;
      logger.info('caller_listener_closed', {
        sinceStopMs: sinceStopMs(),
        acceptMs: Math.round(performance.now() - startMs),
        lastConnections: count,
        isComplete,
      });
    })();
    return listenerClose;
  };
  return {
    open: addresses =>
      addresses.listen('callers', server, {
        host: options.host,
        port: options.port,
        backlog: ACCEPT_BACKLOG,
      }),
    applyLimits({headerTimeoutMs, idleTimeoutMs, maxHeaderBytes}) {
      if (maxHeaderBytes > headerLimitBytes) connections.expireOpen();
      headerLimitBytes = maxHeaderBytes;
      // Node.js reads it for each connection that it accepts.
      Object.assign(server, {maxHeaderSize: maxHeaderBytes});
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_SLACK_MS;
    },
    get openRequests() {
      return connections.openResponses().length;
    },
    totals: () => totals.totals(),
    get isRefusingRequests() {
      return isRefusingRequests();
    },
    async finish(limitMs) {
      const endMs = performance.now() + limitMs;
      await Promise.race([closeListener(limitMs), sleep(limitMs)]);
      const isBusy = () =>
        connections.hasWaitingInput || connections.openResponses().length > 0;
      for (;;) {
        // After a pause of this process, requests have arrived that it has not read.
        const unreadMs = await new Promise<number>(afterPoll);
        if (!isBusy() && unreadMs <= MAX_UNREAD_MS) return;
        if (performance.now() >= endMs) return;
        await sleep(SENT_CHECK_MS);
      }
    },
    close() {
      stopHeapGuard();
      connections.openResponses().forEach(breakOff);
      connections.destroyAll();
      stopAccepting(server);
    },
    drain(limitMs, signalledAtMs) {
      drainingSinceMs = signalledAtMs;
      const drainEndAtMs = signalledAtMs + limitMs;
      connections.disableKeepAlive();
      return new Promise(resolve => {
        const check = (unreadMs: number) => {
          const nowMs = performance.now();
          if (isRefusingRequests()) {
            if (unreadMs <= MAX_UNREAD_MS && !isAcceptingLast) {
              connections.endIdle();
            }
            if (nowMs >= drainEndAtMs - LAST_CONNECTIONS_MS) {
              void closeListener(MAX_LAST_ACCEPT_MS);
            }
          }
          const isQuiet =
            isRefusingRequests() &&
            connections.isSettled &&
            nowMs - connections.lastUsedAtMs > DRAIN_QUIET_MS;
          if (!isQuiet && nowMs < drainEndAtMs) return;
          connections.markDrainLimit();
          clearInterval(timer);
          resolve();
        };
        const timer = setInterval(
          () => afterPoll(check),
          DRAIN_CHECK_INTERVAL_MS,
        );
      });
    },
  };
}
