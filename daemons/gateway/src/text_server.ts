import type {ServerResponse} from 'node:http';
import {
  createAddressOpener,
  createBoundedServer,
  drainServer,
  manageConnections,
  type AddressOpener,
  type AddressPurpose,
  type InputBoundary,
} from '@sardinestile/connections';
import type {Logger} from '@sardinestile/logger';
import type {ListenAddress} from './gateway_options.js';

/** HTTP server for readiness or metrics. */
export interface TextServer {
  /** Begins to serve; rejects if the address does not become available. */
  open(addresses: AddressOpener): Promise<void>;
  /** Resolves when the open responses were delivered, or after the limit. */
  close(limitMs: number): Promise<void>;
}

interface TextResponse {
  status: number;
  text: string;
}

/** Options for `createTextServers`. */
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

/** Creates the HTTP servers for readiness and metrics, which serve nothing until they are opened. */
export function createTextServers(options: TextServersOptions): TextServer[] {
  const {readinessAddress, metricsAddress, isReady, renderMetrics, boundary} =
    options;
  const servers: TextServer[] = [];
  if (readinessAddress) {
    servers.push(
      createTextServer({
        purpose: 'readiness',
        address: readinessAddress,
        render: () =>
          isReady()
            ? {status: 200, text: 'ready\n'}
            : {status: 503, text: 'not ready\n'},
        boundary,
      }),
    );
  }
  if (metricsAddress) {
    servers.push(
      createTextServer({
        purpose: 'metrics',
        address: metricsAddress,
        render: async () => ({status: 200, text: await renderMetrics()}),
        boundary,
      }),
    );
  }
  return servers;
}

/** Opens servers without which a gateway can serve callers, whenever their addresses come. */
export function openInBackground(
  servers: readonly TextServer[],
  logger: Logger,
  signal: AbortSignal,
): void {
  const addresses = createAddressOpener({logger, limitMs: Infinity, signal});
  for (const server of servers) {
    server.open(addresses).catch((error: Error) => {
      if (signal.aborted) return;
      logger.error('server_not_opened', {reason: error.message});
    });
  }
}

/** Connections of balancers and scrapers; more are closed unread. */
const MAX_CONNECTIONS = 100;

/** Largest size of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 8_192;

interface TextServerOptions {
  purpose: AddressPurpose;
  address: ListenAddress;
  render: () => TextResponse | Promise<TextResponse>;
  boundary: InputBoundary | undefined;
}

function createTextServer(options: TextServerOptions): TextServer {
  const {purpose, address, render, boundary} = options;
  const respond = async (response: ServerResponse) => {
    const {status, text} = await render();
    response.writeHead(status, {
      'Content-Type': 'text/plain; charset=utf-8',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  };
  const server = createBoundedServer({
    maxConnections: MAX_CONNECTIONS,
    maxHeaderBytes: MAX_HEADER_BYTES,
  });
  const connections = manageConnections(server, {
    handler: (_request, response) => respond(response),
    boundary,
    input: 'operatorRequest',
  });
  return {
    open: addresses => addresses.listen(purpose, server, address),
    close: limitMs => drainServer(server, connections, limitMs),
  };
}
