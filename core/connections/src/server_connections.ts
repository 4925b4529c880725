import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionEnd} from './connection_end.js';
import {createConnection, type Connection} from './connection.js';
import {failRequest} from './fail_request.js';
import {
  createInputBoundary,
  type InputBoundary,
  type InputName,
} from './input_boundary.js';

/** Serves a request; the promise rejects, or the call throws, if that fails. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Options for `manageConnections`. */
export interface ServerConnectionsOptions {
  /**
   * Serves a request whose connection takes its response. If it fails, the request is
   * answered with status 500, or broken off if its response had begun.
   */
  handler: RequestHandler;
  /** Reports failures of handlers and of the server; logs them by default. */
  boundary?: InputBoundary;
  /** What the server receives; `request` by default. */
  input?: InputName;
  /** Called when a connection has closed. */
  onEnded?: (end: ConnectionEnd) => void;
  /**
   * Called for a request that is not served, as it arrived on a connection whose end had
   * been announced to its peer.
   */
  onUnanswerable?: (request: IncomingMessage) => void;
}

/**
 * The connections of an HTTP server. They alone decide when one of them ends: after all
 * requests taken on it were answered and the responses were sent, or by `destroyAll`.
 */
export interface ServerConnections {
  /** Responses to taken requests that the operating system has not taken whole. */
  openResponses(): ServerResponse[];
  /**
   * Whether every response was sent, and every peer whose connection ends has closed it
   * or had its time to read.
   */
  readonly isSettled: boolean;
  /** Time by performance.now() at which the last request was taken or response sent. */
  readonly lastUsedAtMs: number;
  /** Ends each connection after its next response from now on. */
  disableKeepAlive(): void;
  /**
   * Ends the connections on which nothing is open or arriving. A request that crosses the
   * end is left unread, so that its sender can send it again elsewhere.
   */
  endIdle(): void;
  /** States that all connections have to end now; `ConnectionEnd.reason` then says so. */
  markDrainLimit(): void;
  /** Ends all connections at once, with what is on them. */
  destroyAll(): void;
}

/** Takes over the connections that a server accepts from now on, and their requests. */
export function manageConnections(
  server: Server,
  {
    handler,
    onEnded,
    onUnanswerable,
    input = 'request',
    boundary = createInputBoundary(),
  }: ServerConnectionsOptions,
): ServerConnections {
  const serve = boundary.guard(input, handler, failRequest);
  const connections = new Map<Socket, Connection>();
  let isKeepAliveDisabled = false;
  let lastUsedAtMs = performance.now();
  server.on('connection', (socket: Socket) => {
    const connection = createConnection(socket);
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      onEnded?.(connection.describeEnd());
    });
  });
  server.on('request', (request, response) => {
    lastUsedAtMs = performance.now();
    const connection = connections.get(request.socket);
    if (!connection?.take(response)) {
      onUnanswerable?.(request);
      request.resume();
      return;
    }
    if (isKeepAliveDisabled) connection.announceEnd();
    response.once('finish', () => (lastUsedAtMs = performance.now()));
    response.on('error', error => boundary.report({input, error}));
    serve(request, response);
  });
  server.on('error', error => {
    // Until the server listens, its errors concern whoever starts it.
    if (server.listening) boundary.report({input, error});
  });
  const all = () => [...connections.values()];
  return {
    openResponses: () => all().flatMap(({openResponses}) => openResponses()),
    get isSettled() {
      return all().every(({isSettled}) => isSettled);
    },
    get lastUsedAtMs() {
      return lastUsedAtMs;
    },
    disableKeepAlive() {
      isKeepAliveDisabled = true;
      all().forEach(connection => connection.announceEnd());
    },
    endIdle: () => all().forEach(connection => connection.endIfIdle()),
    markDrainLimit: () =>
      all().forEach(connection => connection.markDrainLimit()),
    destroyAll: () => all().forEach(connection => connection.destroy()),
  };
}
