import type {IncomingMessage} from 'node:http';

/**
 * Whether a caller still waits for its response. Reads what the operating
 * system has received on the caller's connection first: a process that gets
 * the processor late reads a request and the close that followed it in
 * different turns of the event loop.
 */
export async function isCallerPresent({
  socket,
}: IncomingMessage): Promise<boolean> {
  await nextPoll();
  return !socket.destroyed && !socket.readableEnded;
}

/** Resolves after the event loop has polled all sockets once more. */
function nextPoll(): Promise<void> {
  // Immediates run after the poll phase: the second one runs after the poll of
  // the next turn.
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
