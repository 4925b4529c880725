import {connect} from 'node:net';

/** What a caller saw on its connection. */
export interface RawAnswer {
  status: number;
  headers: Record<string, string>;
  body: string;
  /** Whether the answer was whole by its framing. */
  isWhole: boolean;
}

/** One request of a caller. */
export interface RawCallOptions {
  address: string;
  method?: string;
  path: string;
  host: string;
  headers?: Record<string, string>;
  body?: string;
  /** Closes the connection after this time. */
  leaveAfterMs?: number;
  timeoutMs?: number;
}

/** Sends a request on a connection of its own and reads until its answer is whole or the connection ends. */
export function rawCall(options: RawCallOptions): Promise<RawAnswer> {
  const {method = 'GET', path, host, headers = {}, body = ''} = options;
  const [ip, port] = options.address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), ip);
    let received = Buffer.alloc(0);
    const timer = setTimeout(() => {
      socket.destroy();
      reject(new Error(`no whole answer to ${method} ${path} in time`));
    }, options.timeoutMs ?? 15_000);
    const settle = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(parseAnswer(received));
    };
    socket.on('data', (chunk: Buffer) => {
      received = Buffer.concat([received, chunk]);
      if (parseAnswer(received).isWhole) settle();
    });
    socket.on('close', settle);
    socket.on('error', () => undefined);
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`];
    for (const [name, value] of Object.entries(headers)) {
      lines.push(`${name}: ${value}`);
    }
    if (body) lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    if (options.leaveAfterMs !== undefined) {
      setTimeout(() => socket.destroy(), options.leaveAfterMs);
    }
  });
}

/** Reads what there is of an answer. */
export function parseAnswer(bytes: Buffer): RawAnswer {
  const text = bytes.toString('latin1');
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return {status: 0, headers: {}, body: '', isWhole: false};
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(statusLine.split(' ')[1]);
  const rest = text.slice(headEnd + 4);
  if (headers['transfer-encoding'] === 'chunked') {
    return {status, headers, ...dechunk(rest)};
  }
  // Without a length the answer ends with the connection.
  const length = Number(headers['content-length'] ?? Infinity);
  return {status, headers, body: rest, isWhole: rest.length >= length};
}

function dechunk(text: string): {body: string; isWhole: boolean} {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return {body, isWhole: false};
    const size = parseInt(text.slice(at, lineEnd), 16);
    if (size === 0) return {body, isWhole: true};
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
    if (at > text.length) return {body, isWhole: false};
  }
}
