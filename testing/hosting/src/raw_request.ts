import {connect} from 'node:net';

/** A response as the caller received it, possibly incomplete. */
export interface RawResponse {
  /** Status code; 0 if the connection ended before the end of the headers. */
  status: number;
  headers: Record<string, string>;
  body: string;
  /** Whether the body is complete by its length or its chunks. */
  isComplete: boolean;
  /** Whether the connection was reset rather than closed in order. */
  wasReset: boolean;
}

/** What the bytes of a response tell. */
export type ParsedResponse = Omit<RawResponse, 'wasReset'>;

/** Options for sendRawRequest. */
export interface RawRequestOptions {
  /** Host and port to connect to. */
  address: string;
  method?: string;
  path: string;
  host: string;
  headers?: Record<string, string>;
  body?: string;
  /** Closes the connection this long after the request was sent. */
  disconnectAfterMs?: number;
  timeoutMs?: number;
}

/**
 * Sends a request on a new connection and reads until the response is complete
 * or the connection ends. Rejects after the timeout.
 */
export function sendRawRequest(
  options: RawRequestOptions,
): Promise<RawResponse> {
  const {method = 'GET', path, host, headers = {}, body = ''} = options;
  const [ip, port] = options.address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), ip);
    let received = Buffer.alloc(0);
    let wasReset = false;
    const timer = setTimeout(() => {
      socket.destroy();
      reject(
        new Error(
          `no complete response to ${method} ${path} within the timeout`,
        ),
      );
    }, options.timeoutMs ?? 15_000);
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve({...parseResponse(received), wasReset});
    };
    socket.on('data', (chunk: Buffer) => {
      received = Buffer.concat([received, chunk]);
      if (parseResponse(received).isComplete) finish();
    });
    socket.on('end', () => {
      // Node.js reports a reset that arrives with the last bytes as an end in order.
      wasReset ||= socket.remoteAddress === undefined;
    });
    socket.on('close', finish);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      wasReset = error.code === 'ECONNRESET';
    });
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`];
    for (const [name, value] of Object.entries(headers)) {
      lines.push(`${name}: ${value}`);
    }
    if (body) lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    if (options.disconnectAfterMs !== undefined) {
      setTimeout(() => socket.destroy(), options.disconnectAfterMs);
    }
  });
}

/**
 * Whether a caller takes the response for the whole one: by its length or its chunks, or, if
 * it has neither, as its connection ended in order.
 */
export function looksWhole({headers, status, ...end}: RawResponse): boolean {
  const isFramed =
    'content-length' in headers || 'transfer-encoding' in headers;
  return end.isComplete || (status > 0 && !isFramed && !end.wasReset);
}

/** Parses the bytes of a response that have arrived so far. */
export function parseResponse(bytes: Buffer): ParsedResponse {
  const text = bytes.toString('latin1');
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return {status: 0, headers: {}, body: '', isComplete: false};
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers: Record<string, string> = Object.fromEntries(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const status = Number(statusLine.split(' ')[1]);
  const bodyText = text.slice(headEnd + 4);
  if (headers['transfer-encoding'] === 'chunked') {
    return {status, headers, ...decodeChunks(bodyText)};
  }
  // A response without a length ends with the connection.
  const length = Number(headers['content-length'] ?? Infinity);
  return {
    status,
    headers,
    body: bodyText,
    isComplete: bodyText.length >= length,
  };
}

function decodeChunks(text: string): {body: string; isComplete: boolean} {
  let body = '';
  let offset = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', offset);
    if (lineEnd < 0) return {body, isComplete: false};
    const size = parseInt(text.slice(offset, lineEnd), 16);
    if (size === 0) return {body, isComplete: true};
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    offset = lineEnd + 2 + size + 2;
    if (offset > text.length) return {body, isComplete: false};
  }
}
