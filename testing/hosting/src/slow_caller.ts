import {connect} from 'node:net';
import {HOST} from './initial_configuration.js';
import {parseResponse, type RawResponse} from './raw_request.js';

/** Options for `startSlowCaller`. */
export interface SlowCallerOptions {
  /** Host and port to connect to. */
  address: string;
  path: string;
  headers: Record<string, string>;
  /** Bytes of the response after which the caller stops reading. */
  readBytes?: number;
}

/** A caller that stops reading its response. */
export interface SlowCaller {
  /** Reads the rest of the response; resolves when it or the connection ends. */
  readRest(): Promise<RawResponse>;
  /** Resolves when the caller has stopped reading. */
  readonly slowed: Promise<void>;
  /** Resolves when the connection has ended; a connection that is not read ends only by a reset. */
  readonly closed: Promise<void>;
  disconnect(): void;
}

/** Sends a request without a body and stops reading after the given number of bytes. */
export function startSlowCaller(options: SlowCallerOptions): SlowCaller {
  const {address, path, headers, readBytes = 1} = options;
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  let isSlow = true;
  let wasReset = false;
  let reportSlowed: () => void;
  const slowed = new Promise<void>(resolve => (reportSlowed = resolve));
  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    receivedBytes += chunk.length;
    if (!isSlow || receivedBytes < readBytes) return;
    socket.pause();
    reportSlowed();
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    wasReset = error.code === 'ECONNRESET';
  });
  socket.on('end', () => {
    // Node.js reports a reset that arrives with the last bytes as an end in order.
    wasReset ||= socket.remoteAddress === undefined;
  });
  const closed = new Promise<void>(resolve => socket.once('close', resolve));
  const lines = [`GET ${path} HTTP/1.1`, `Host: ${HOST}`, 'Connection: close'];
  for (const [name, value] of Object.entries(headers)) {
    lines.push(`${name}: ${value}`);
  }
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  return {
    slowed,
    closed,
    async readRest() {
      isSlow = false;
      socket.resume();
      await closed;
      return {...parseResponse(Buffer.concat(chunks)), wasReset};
    },
    disconnect: () => socket.destroy(),
  };
}
