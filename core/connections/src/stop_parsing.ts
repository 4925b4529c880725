import type {Socket} from 'node:net';

/** Result by which the handler of parsed headers tells the parser to stop. */
const STOP_PARSING = 2;

/**
 * Keeps the parser of a connection from making more requests of what it has read: node:http
 * holds them until the connection has closed. It has no documented way to stop its parser.
 */
export function stopParsing(
  socket: Socket & {parser?: {onIncoming?: unknown}},
): void {
  if (socket.parser) socket.parser.onIncoming = () => STOP_PARSING;
}

/** Reads a connection on without its parser, so that a peer that leaves is noticed. */
export function skipInput(socket: Socket): void {
  socket.removeAllListeners('data');
  socket.on('data', () => undefined);
  socket.resume();
}
