import {createServer, type Server} from 'node:http';
import {MANAGED_SERVER_OPTIONS} from './server_connections.js';

/** Time limit for receiving the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;

/** Options for `createBoundedServer`. */
export interface BoundedServerOptions {
  /** Connections beyond this are closed unread. */
  maxConnections: number;
  /** Largest size of a request's headers, in bytes. */
  maxHeaderBytes: number;
}

/** Creates an HTTP server for a few known clients, whose connections together take little memory. */
export function createBoundedServer({
  maxConnections,
  maxHeaderBytes,
}: BoundedServerOptions): Server {
  const server = createServer({
    ...MANAGED_SERVER_OPTIONS,
    maxHeaderSize: maxHeaderBytes,
    headersTimeout: HEADERS_TIMEOUT_MS,
    connectionsCheckingInterval: HEADERS_TIMEOUT_MS,
  });
  server.maxConnections = maxConnections;
  return server;
}
