import type {Socket} from 'node:net';
import type {Connection} from './connection.js';

/** Code of the error if a request does not arrive in time. */
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Code of the parser if the peer ends its side within a request. */
const PEER_ENDED_CODE = 'HPE_INVALID_EOF_STATE';

/** Statuses of node:http for input that it refuses, by the code of its error. */
const STATUS_LINES: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
  [TIMEOUT_CODE, '408 Request Timeout'],
]);

const DEFAULT_STATUS_LINE = '400 Bad Request';

/** Whether input cannot be parsed or does not go on, rather than that its connection is gone. */
export function isInputError({code = ''}: NodeJS.ErrnoException): boolean {
  return (
    code === TIMEOUT_CODE ||
    (code.startsWith('HPE_') && code !== PEER_ENDED_CODE)
  );
}

/** Ends a connection on which no whole request is open, as node:http does without a listener. */
export function refuseInput(
  {code = ''}: NodeJS.ErrnoException,
  socket: Socket,
  connection: Connection | undefined,
): void {
  const hasBegun = connection?.openResponses().some(r => r.headersSent);
  if (socket.writable && !hasBegun) {
    const statusLine = STATUS_LINES.get(code) ?? DEFAULT_STATUS_LINE;
    socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy();
}
