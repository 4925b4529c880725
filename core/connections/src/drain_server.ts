import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {ServerConnections} from './server_connections.js';

/** Interval at which a draining server ends idle connections, in milliseconds. */
const END_IDLE_INTERVAL_MS = 100;

/**
 * Stops accepting connections. `onClosed` is called when all connections are closed. The
 * method of the HTTP server also destroys connections whose response is not sent yet, and
 * stops checking the timeouts of requests.
 */
export function stopAccepting(
  server: Server,
  onClosed: () => void = () => undefined,
): void {
  NetServer.prototype.close.call(server, onClosed);
}

/**
 * Stops accepting connections and ends each one once the responses on it were
 * delivered; destroys those that are left after the limit. Resolves when all are
 * closed.
 */
export function drainServer(
  server: Server,
  connections: ServerConnections,
  limitMs?: number,
): Promise<void> {
  connections.disableKeepAlive();
  const timer = setInterval(
    // Immediates run after the event loop has read what has arrived.
    () => setImmediate(() => connections.endIdle()),
    END_IDLE_INTERVAL_MS,
  );
  const limitTimer =
    limitMs === undefined
      ? undefined
      : setTimeout(() => connections.destroyAll(), limitMs);
  return new Promise(resolve => {
    stopAccepting(server, () => {
      clearInterval(timer);
      clearTimeout(limitTimer);
      resolve();
    });
  });
}
