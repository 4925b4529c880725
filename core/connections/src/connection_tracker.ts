import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionEnd, ConnectionEndReason} from './connection_end.js';

/** Options for `trackConnections`. */
export interface ConnectionTrackerOptions {
  /** Called when a connection has closed. */
  onEnded: (end: ConnectionEnd) => void;
  /** Called for a request that is read although its connection takes no response any more. */
  onUnanswerable: (request: IncomingMessage) => void;
}

/** Follows the connections of a server. */
export interface ConnectionTracker {
  /** States why a connection ends from now on; the first reason stays. */
  noteReason(socket: Socket, reason: ConnectionEndReason): void;
  /** States why the connections end that were destroyed without a reason. */
  noteDestroyed(reason: ConnectionEndReason): void;
}

interface TrackedConnection {
  peer: string;
  openResponses: Set<ServerResponse>;
  /** Bytes received when the last request was read, or its response ended. */
  bytesReadAtLastUse: number;
  lastUsedAtMs: number;
  unsentBytes: number;
  reason: ConnectionEndReason | undefined;
}

/** Follows all connections that a server accepts from now on. */
export function trackConnections(
  server: Server,
  {onEnded, onUnanswerable}: ConnectionTrackerOptions,
): ConnectionTracker {
  const connections = new Map<Socket, TrackedConnection>();
  const noteReason = (socket: Socket, reason: ConnectionEndReason) => {
    const connection = connections.get(socket);
    if (!connection || connection.reason !== undefined) return;
    connection.reason = reason;
    connection.unsentBytes = socket.writableLength;
  };
  server.on('connection', (socket: Socket) => {
    const connection: TrackedConnection = {
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      openResponses: new Set(),
      bytesReadAtLastUse: 0,
      lastUsedAtMs: performance.now(),
      unsentBytes: 0,
      reason: undefined,
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      const {openResponses, peer, reason = 'other', unsentBytes} = connection;
      onEnded({
        reason,
        peer,
        openRequests: [...openResponses].map(({req}) => req),
        isResponseCut: [...openResponses].some(r => r.headersSent),
        unsentBytes,
        partialRequestBytes:
          openResponses.size > 0
            ? 0
            : socket.bytesRead - connection.bytesReadAtLastUse,
        idleMs: Math.round(performance.now() - connection.lastUsedAtMs),
      });
    });
  });
  server.on('request', (request, response) => {
    const {socket} = request;
    const connection = connections.get(socket);
    if (!connection) return;
    if (socket.writableEnded) onUnanswerable(request);
    const recordUse = () => {
      connection.bytesReadAtLastUse = socket.bytesRead;
      connection.lastUsedAtMs = performance.now();
    };
    recordUse();
    connection.openResponses.add(response);
    response.once('finish', () => {
      connection.openResponses.delete(response);
      recordUse();
    });
  });
  return {
    noteReason,
    noteDestroyed(reason) {
      for (const socket of connections.keys()) {
        if (socket.destroyed) noteReason(socket, reason);
      }
    },
  };
}
