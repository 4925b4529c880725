import {createServer, type ServerResponse} from 'node:http';
import {
  drainServer,
  MANAGED_SERVER_OPTIONS,
  manageConnections,
  type InputBoundary,
} from '@sardinestile/connections';
import type {ListenAddress} from './gateway_options.js';

/** A running HTTP server for readiness or metrics. */
export interface TextServer {
  /** Resolves when the open responses were delivered, or after the limit. */
  close(limitMs: number): Promise<void>;
}

interface TextResponse {
  status: number;
  text: string;
}

/** Options for `startTextServers`. */
export interface TextServersOptions {
  /** Address of the readiness check for load balancers; undefined to serve none. */
  readinessAddress: ListenAddress | undefined;
  /** Address of the metrics; undefined to serve none. */
  metricsAddress: ListenAddress | undefined;
  isReady: () => boolean;
  renderMetrics: () => Promise<string>;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
}

/** Starts the HTTP servers for readiness and metrics; rejects if an address is in use. */
export async function startTextServers(
  options: TextServersOptions,
): Promise<TextServer[]> {
  const {readinessAddress, metricsAddress, isReady, renderMetrics, boundary} =
    options;
  const servers: TextServer[] = [];
  if (readinessAddress) {
    servers.push(
      await startTextServer(
        readinessAddress,
        () =>
          isReady()
            ? {status: 200, text: 'ready\n'}
            : {status: 503, text: 'not ready\n'},
        boundary,
      ),
    );
  }
  if (metricsAddress) {
    servers.push(
      await startTextServer(
        metricsAddress,
        async () => ({status: 200, text: await renderMetrics()}),
        boundary,
      ),
    );
  }
  return servers;
}

async function startTextServer(
  {host, port}: ListenAddress,
  render: () => TextResponse | Promise<TextResponse>,
  boundary: InputBoundary | undefined,
): Promise<TextServer> {
  const respond = async (response: ServerResponse) => {
    const {status, text} = await render();
    response.writeHead(status, {
      'Content-Type': 'text/plain; charset=utf-8',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  };
  const server = createServer(MANAGED_SERVER_OPTIONS);
  const connections = manageConnections(server, {
    handler: (_request, response) => respond(response),
    boundary,
    input: 'operatorRequest',
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => resolve());
  });
  return {close: limitMs => drainServer(server, connections, limitMs)};
}
