import {createHash, timingSafeEqual} from 'node:crypto';
import type {AddressOpener, InputBoundary} from '@sardinestile/connections';
import {startHttpServer, type HttpServer} from '@sardinestile/http';
import type {MetricsRegistry} from '@sardinestile/metrics';
import {H3, type H3Event} from 'h3';

/** Content type of the Prometheus text format. */
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Time limit for answering the open requests of operators at a stop, in milliseconds. */
export const OPS_DRAIN_LIMIT_MS = 2_000;

/** Connections of operators, balancers and scrapers; more are closed unread. */
const MAX_CONNECTIONS = 100;

/** Largest size of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 8_192;

/** Options for startOpsServer. */
export interface OpsServerOptions {
  host: string;
  /** Port to listen on; 0 takes any free one. */
  port: number;
  /** Bearer key that `/state` requires. */
  adminKey: string;
  metrics: MetricsRegistry;
  /** Whether `/ready` answers 200 rather than 503. */
  isReady: () => boolean;
  /** Returns the process's state as a JSON value. */
  dumpState: () => unknown;
  /** Adds routes to the server, such as those of the administration API. */
  addRoutes?: (app: H3) => void;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
  /** Opens the address; does not wait for it by default. */
  addresses?: AddressOpener;
}

/** Starts the HTTP server for `/live`, `/ready`, `/metrics` and `/state`. */
export async function startOpsServer(
  options: OpsServerOptions,
): Promise<HttpServer> {
  const app = new H3()
    .get('/live', () => ({isLive: true}))
    .get('/ready', () => {
      const isReady = options.isReady();
      return Response.json({isReady}, {status: isReady ? 200 : 503});
    })
    .get('/metrics', async () => {
      const headers = {'content-type': METRICS_CONTENT_TYPE};
      return new Response(await options.metrics.render(), {headers});
    })
    .get('/state', event => {
      if (!hasAdminKey(event, options.adminKey)) return unauthorizedResponse();
      return options.dumpState();
    });
  options.addRoutes?.(app);
  const {host, port, addresses, boundary} = options;
  return startHttpServer({
    app,
    host,
    port,
    addresses,
    purpose: 'operators',
    boundary,
    input: 'operatorRequest',
    bounds: {maxConnections: MAX_CONNECTIONS, maxHeaderBytes: MAX_HEADER_BYTES},
  });
}

/**
 * Whether the `Authorization` header of a request carries the administration
 * key. The prefix `Bearer` is optional.
 */
export function hasAdminKey(event: H3Event, adminKey: string): boolean {
  const header = event.req.headers.get('authorization') ?? '';
  const presented = header.replace(/^Bearer /i, '');
  // Digests have equal lengths, which timingSafeEqual requires.
  return timingSafeEqual(hashSha256(presented), hashSha256(adminKey));
}

/** Creates the 401 response to a request without a valid administration key. */
export function unauthorizedResponse(): Response {
  const error = {
    code: 'UNAUTHORIZED',
    message: 'the administration key is missing or wrong',
  };
  return Response.json({error}, {status: 401});
}

function hashSha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
