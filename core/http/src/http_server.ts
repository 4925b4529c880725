import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
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

/** Interval at which a draining server closes idle connections. */
const CLOSE_IDLE_INTERVAL_MS = 100;

/** Options for startHttpServer. */
export interface HttpServerOptions {
  app: H3;
  host: string;
  /** 0 selects any free port. */
  port: number;
  headersTimeoutMs?: number;
}

/** A running HTTP server. */
export interface HttpServer {
  port: number;
  /** Closes each connection after its next response. */
  disableKeepAlive(): void;
  /** Stops accepting connections; resolves when all open requests have ended. */
  drain(): Promise<void>;
  /** Closes every connection at once. */
  destroy(): void;
}

/** Starts an HTTP server; rejects if it cannot listen on the address. */
export async function startHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const handler = toNodeHandler(options.app);
  let isKeepAliveDisabled = false;
  const server = createServer(
    {
      headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true,
    },
    (request, response) => {
      if (isKeepAliveDisabled) response.shouldKeepAlive = false;
      void handler(request, response);
    },
  );
  await listen(server, options);
  return {
    port: (server.address() as AddressInfo).port,
    disableKeepAlive: () => {
      isKeepAliveDisabled = true;
    },
    drain: () => drainServer(server),
    destroy: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function listen(server: Server, options: HttpServerOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => resolve());
  });
}

function drainServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(
      () => server.closeIdleConnections(),
      CLOSE_IDLE_INTERVAL_MS,
    );
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });
}
