import type {Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {afterPoll} from './after_poll.js';

/** Connections that a server accepted just before it stopped accepting. */
export interface LastConnections {
  count: number;
  /** Whether none was left that waits to be accepted, and was therefore reset. */
  isComplete: boolean;
}

/**
 * Stops accepting connections at once, and resets those that wait to be accepted. `onClosed` is
 * called when all connections are closed. The method of the HTTP server also destroys
 * connections whose response is not sent yet, and stops checking the timeouts of requests.
 */
export function stopAccepting(
  server: Server,
  onClosed: () => void = () => undefined,
): void {
  NetServer.prototype.close.call(server, onClosed);
}

/**
 * Stops accepting connections once those were accepted that the operating system has completed,
 * whose peers may have sent requests long before; at the latest after the limit, in
 * milliseconds. Node.js accepts one connection in each iteration of its event loop. Until none
 * waits, nothing is read from them, as peers that are answered would connect again. Resolves
 * when what they had sent was read; before that, they must not be ended as idle.
 */
export async function finishAccepting(
  server: Server,
  limitMs: number,
  onClosed?: () => void,
): Promise<LastConnections> {
  const endMs = performance.now() + limitMs;
  const held: Socket[] = [];
  let accepted = 0;
  const countDropped = () => void accepted++;
  const hold = (socket: Socket) => {
    accepted++;
    held.push(socket);
  };
  // A socket that is paused later has begun to read.
  setPauseOnConnect(server, true);
  server.on('connection', hold);
  server.on('drop', countDropped);
  await nextPoll();
  let acceptedBefore: number;
  do {
    acceptedBefore = accepted;
    await nextPoll();
  } while (accepted > acceptedBefore && performance.now() < endMs);
  stopAccepting(server, onClosed);
  setPauseOnConnect(server, false);
  server.off('connection', hold);
  server.off('drop', countDropped);
  for (const socket of held) socket.resume();
  await nextPoll();
  return {count: held.length, isComplete: accepted === acceptedBefore};
}

/** Sets an option of a server that Node.js reads for each connection that it accepts. */
function setPauseOnConnect(server: Server, pauseOnConnect: boolean): void {
  Object.assign(server, {pauseOnConnect});
}

function nextPoll(): Promise<void> {
  return new Promise(resolve => afterPoll(() => resolve()));
}
