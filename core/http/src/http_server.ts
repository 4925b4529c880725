import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createAddressOpener,
  createBoundedServer,
  drainServer,
  dropHeaders,
  endAfterEarlyResponse,
  MANAGED_SERVER_OPTIONS,
  manageConnections,
  startHeapGuard,
  type AddressOpener,
  type AddressPurpose,
  type BoundedServerOptions,
  type HeapBudget,
  type InputBoundary,
  type InputName,
  type RequestHandler,
} from '@sardinestile/connections';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {H3} from 'h3';
import {toNodeHandler} from 'h3/node';

/** Time within which a client must send the complete request headers. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Time within which a client must send the complete request. */
const REQUEST_TIMEOUT_MS = 120_000;

/** Interval at which both timeouts are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Time for which an idle connection is kept open. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** How a server keeps the heap that its connections and requests take within a budget. */
export interface HeapProtection {
  budget: HeapBudget;
  /** Answers the requests for which there is no room; must not read their bodies. */
  refusalApp: H3;
  logger: Logger;
  metrics: MetricsRegistry;
}

/** Options for startHttpServer. */
export interface HttpServerOptions {
  app: H3;
  host: string;
  /** 0 selects any free port. */
  port: number;
  headersTimeoutMs?: number;
  /** Opens the address; does not wait for it by default. */
  addresses?: AddressOpener;
  /** What the server serves; `callers` by default. */
  purpose?: AddressPurpose;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
  /** What the server receives; `request` by default. */
  input?: InputName;
  /** Bounds the heap that clients take; it has no bound if absent. */
  heap?: HeapProtection;
  /** Bounds of a server for few known clients; it has none if absent. */
  bounds?: BoundedServerOptions;
}

/** A running HTTP server. */
export interface HttpServer {
  port: number;
  /** Closes each connection after its next response. */
  disableKeepAlive(): void;
  /**
   * Stops accepting connections and closes each one once the responses on it
   * were delivered; closes those that are left after the limit. Resolves when
   * all are closed.
   */
  drain(limitMs?: number): Promise<void>;
  /** Closes every connection at once. */
  destroy(): void;
}

/** Starts an HTTP server; rejects if it cannot listen on the address. */
export async function startHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const {heap, bounds} = options;
  const server = bounds
    ? createBoundedServer(bounds)
    : createServer({
        ...MANAGED_SERVER_OPTIONS,
        headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
      });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  const connections = manageConnections(server, {
    handler: createHandler(options),
    boundary: options.boundary,
    input: options.input,
    onTaken: heap && (request => heap.budget.openRequest(request)),
    mayWait: heap && (() => heap.budget.step() === 'none'),
  });
  const stopHeapGuard = heap && startHeapGuard({server, connections, ...heap});
  server.once('close', () => stopHeapGuard?.());
  const {host, port, purpose = 'callers'} = options;
  const {addresses = createAddressOpener()} = options;
  await addresses.listen(purpose, server, {host, port});
  return {
    port: (server.address() as AddressInfo).port,
    disableKeepAlive: () => connections.disableKeepAlive(),
    drain: limitMs => drainServer(server, connections, limitMs),
    destroy: () => {
      connections.destroyAll();
      server.close();
    },
  };
}

function createHandler({app, heap}: HttpServerOptions): RequestHandler {
  const handle = toNodeHandler(app);
  if (!heap) {
    return async (request, response) => {
      await handle(request, response);
    };
  }
  const {budget, refusalApp} = heap;
  const refuse = toNodeHandler(refusalApp);
  return async (request, response) => {
    response.once('finish', () => endIncomplete(request));
    if (budget.step() === 'none') {
      await handle(request, response);
      return;
    }
    endAfterEarlyResponse(request, response);
    await refuse(request, response);
  };
}

/**
 * Ends the connection of a request that was answered before it had arrived whole, also where
 * the response did not announce it: the request would hold heap that is no longer counted.
 */
function endIncomplete(request: IncomingMessage): void {
  if (request.complete) return;
  dropHeaders(request);
  request.socket.destroySoon();
}
