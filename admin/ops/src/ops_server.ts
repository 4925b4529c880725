import {createHash, timingSafeEqual} from 'node:crypto';
import {startHttpServer, type HttpServer} from '@sardinestile/http';
import type {MetricsRegistry} from '@sardinestile/metrics';
import {H3, type H3Event} from 'h3';

/** Content type of the Prometheus text format. */
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** What a process shows to its operators. */
export interface OpsServerOptions {
  host: string;
  port: number;
  adminKey: string;
  metrics: MetricsRegistry;
  isReady: () => boolean;
  /** Dump of the process's state, as a JSON value. */
  dumpState: () => unknown;
  /** Adds further routes, such as the administration API. */
  extend?: (app: H3) => void;
}

/** Starts the operators' listener: `/live`, `/ready`, `/metrics`, `/state`. */
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
      if (!hasAdminKey(event, options.adminKey)) return unauthorized();
      return options.dumpState();
    });
  options.extend?.(app);
  return startHttpServer({app, host: options.host, port: options.port});
}

/** Whether a request carries the administrators' bearer key. */
export function hasAdminKey(event: H3Event, adminKey: string): boolean {
  const header = event.req.headers.get('authorization') ?? '';
  const presented = header.replace(/^Bearer /i, '');
  return timingSafeEqual(digest(presented), digest(adminKey));
}

/** The answer to a request without the administrators' key. */
export function unauthorized(): Response {
  const error = {
    code: 'UNAUTHORIZED',
    message: 'the administration key is missing or wrong',
  };
  return Response.json({error}, {status: 401});
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
