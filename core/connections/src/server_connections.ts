import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionEnd} from './connection_end.js';
import {createConnection, type Connection} from './connection.js';

/** Options for `manageConnections`. */
export interface ServerConnectionsOptions {
  /** Serves a request whose connection takes its response. */
  handler: RequestListener;
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
  {handler, onEnded, onUnanswerable}: ServerConnectionsOptions,
): ServerConnections {
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
    handler(request, response);
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
