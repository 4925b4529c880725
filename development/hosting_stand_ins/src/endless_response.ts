import type {Socket} from 'node:net';

/** Size of the writes, in bytes. */
const BLOCK_BYTES = 4_096;

/** Part of a response that never ends. */
export type EndlessPart = keyof typeof ENDLESS_PARTS;

/** Beginning of a response and the bytes that are repeated after it. */
const ENDLESS_PARTS = {
  headerValue: {start: 'HTTP/1.1 200 OK\r\nx-long: ', repeated: 'x'},
  headers: {start: 'HTTP/1.1 200 OK\r\n', repeated: 'x-more: 1\r\n'},
  interimResponses: {
    start: '',
    repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n',
  },
  emptyLines: {start: '', repeated: '\r\n'},
  noResponse: {start: '', repeated: 'garbage '},
  errorBody: {
    start: 'HTTP/1.1 500 Internal Server Error\r\nrequest-id: ID\r\n\r\n',
    repeated: 'x',
  },
  chunkExtension: {
    start:
      'HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n4;',
    repeated: 'x',
  },
  trailers: {
    start:
      'HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
    repeated: 'x-more: 1\r\n',
  },
  eventLine: {
    start:
      'HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: ',
    repeated: 'x',
  },
  comments: {
    start:
      'HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n',
    repeated: '8\r\n: wait\n\n\r\n',
  },
  newlines: {
    start:
      'HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-type: text/event-stream\r\n\r\n',
    repeated: '\n',
  },
} as const;

/**
 * Sends a response of which one part never ends, until the connection is
 * closed.
 */
export function sendEndlessResponse(
  socket: Socket,
  part: EndlessPart,
  requestId: string,
): void {
  const {start, repeated} = ENDLESS_PARTS[part];
  const block = Buffer.from(
    repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)),
  );
  socket.write(start.replace('ID', requestId));
  const writeMore = () => {
    if (socket.destroyed) return;
    if (socket.write(block)) setTimeout(writeMore, 1);
    else socket.once('drain', writeMore);
  };
  writeMore();
}
