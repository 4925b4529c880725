import type {Socket} from 'node:net';

/**
 * Holds the end of a socket back until its reader asks for more after the last data. A parser
 * of undici that has stopped reading must not be told of the end: it throws an assertion then,
 * which no code can catch. The socket has to allow half-open connections.
 */
export function holdEndWhileUnread(socket: Socket): void {
  const read = socket.read.bind(socket);
  const emit = socket.emit.bind(socket) as (
    event: string | symbol,
    ...args: unknown[]
  ) => boolean;
  let hasAskedForMore = true;
  let isEndHeld = false;
  socket.read = size => {
    const chunk = read(size) as unknown;
    // Streams call it with 0 to fill their buffer.
    if (size === 0) return chunk;
    hasAskedForMore = chunk === null;
    if (hasAskedForMore && isEndHeld) {
      isEndHeld = false;
      process.nextTick(emit, 'end');
    }
    return chunk;
  };
  const emitOrHold = (event: string | symbol, ...args: unknown[]) => {
    if (event !== 'end' || hasAskedForMore) return emit(event, ...args);
    isEndHeld = true;
    return true;
  };
  socket.emit = emitOrHold as typeof socket.emit;
}
