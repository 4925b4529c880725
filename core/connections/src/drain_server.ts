import type {Server} from 'node:http';
import {afterPoll, MAX_UNREAD_MS} from './after_poll.js';
import type {ServerConnections} from './server_connections.js';
import {finishAccepting} from './stop_accepting.js';

/** Interval at which a draining server ends idle connections, in milliseconds. */
const END_IDLE_INTERVAL_MS = 100;

/** Longest time for which a draining server accepts connections that wait, in milliseconds. */
const MAX_ACCEPT_MS = 1_000;

/**
 * Stops accepting connections and ends each one once the responses on it were
 * delivered; destroys those that are left after the limit. Resolves when all are
 * closed.
 */
export function drainServer(
  server: Server,
  connections: ServerConnections,
  limitMs = Infinity,
): Promise<void> {
  connections.disableKeepAlive();
  let isAccepting = true;
  const timer = setInterval(
    () =>
      afterPoll(unreadMs => {
        if (unreadMs <= MAX_UNREAD_MS && !isAccepting) connections.endIdle();
      }),
    END_IDLE_INTERVAL_MS,
  );
  const limitTimer = Number.isFinite(limitMs)
    ? setTimeout(() => connections.destroyAll(), limitMs)
    : undefined;
  return new Promise(resolve => {
    const onClosed = () => {
      clearInterval(timer);
      clearTimeout(limitTimer);
      resolve();
    };
    void finishAccepting(
      server,
      Math.min(limitMs, MAX_ACCEPT_MS),
      onClosed,
    ).then(() => (isAccepting = false));
  });
}
