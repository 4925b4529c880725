import {connect, type Socket} from 'node:net';
import {HOST} from './initial_configuration.js';
import type {LoopPolls} from './loop_polls.js';
import {parseResponse, type RawResponse} from './raw_request.js';

/** A request on a connection that stays open. */
export interface KeptRequest {
  method?: string;
  path: string;
  headers: Record<string, string>;
  body?: string;
  /** Parts in which the body is sent as chunks, with a pause after each one. */
  chunks?: readonly string[];
  /** Pause after the headers and after each chunk, in milliseconds. */
  pauseMs?: number;
}

/** Options for openKeptConnection. */
export interface KeptConnectionOptions {
  /** Delay of bytes and closes in each direction, in milliseconds; none if absent. */
  delayMs?: number;
  /** Tells how late its end is noticed. */
  loopPolls?: LoopPolls;
}

/** Connection of a caller that stays open between requests. */
export interface KeptConnection {
  /** Whether the gateway has closed it. */
  readonly isClosed: boolean;
  /** Whether the gateway has reset it. */
  readonly wasReset: boolean;
  /** Resolves to whether the connection was established. */
  readonly opened: Promise<boolean>;
  /** Time by performance.now() at which the last request was sent whole; undefined before. */
  readonly sentWholeAtMs: number | undefined;
  /**
   * Time by performance.now() at which the gateway had not closed it yet; it did so between
   * then and `isClosed`. Undefined until it has, and without `loopPolls`.
   */
  readonly openUntilMs: number | undefined;
  /** Sends a request; resolves when its response is complete or the connection has ended. */
  send(request: KeptRequest): Promise<RawResponse>;
  /** Stops reading until `resume` is called. */
  pause(): void;
  resume(): void;
  close(): void;
}

/** Opens a connection to an address of the form host:port. */
export function openKeptConnection(
  address: string,
  {delayMs = 0, loopPolls}: KeptConnectionOptions = {},
): KeptConnection {
  const [host, port] = address.split(':');
  const socket: Socket = connect({
    host,
    port: Number(port),
    noDelay: true,
    allowHalfOpen: true,
  });
  let received = Buffer.alloc(0);
  let isClosed = false;
  let wasReset = false;
  let sentWholeAtMs: number | undefined;
  let openUntilMs: number | undefined;
  const later = (action: () => void) => {
    if (delayMs === 0) action();
    else setTimeout(action, delayMs);
  };
  let notify: (() => void) | undefined;
  const opened = new Promise<boolean>(resolve => {
    socket.once('connect', () => resolve(true));
    socket.once('close', () => resolve(false));
  });
  socket.on('data', (chunk: Buffer) =>
    later(() => {
      received = Buffer.concat([received, chunk]);
      notify?.();
    }),
  );
  socket.on('error', (error: NodeJS.ErrnoException) => {
    wasReset ||= error.code === 'ECONNRESET' || error.code === 'EPIPE';
  });
  const onEnd = () => {
    openUntilMs ??= loopPolls?.reportedUntilMs();
    later(() => {
      isClosed = true;
      notify?.();
    });
  };
  socket.on('end', onEnd);
  socket.on('close', onEnd);
  const write = (text: string, onWritten?: (error?: Error | null) => void) =>
    later(() => socket.write(text, onWritten));
  const sendWhole = async (request: KeptRequest) => {
    const {method = 'POST', path, headers, body = '', chunks} = request;
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${HOST}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      chunks
        ? 'Transfer-Encoding: chunked'
        : `Content-Length: ${Buffer.byteLength(body)}`,
    ];
    const onWritten = (error?: Error | null) => {
      if (!error) sentWholeAtMs = performance.now();
    };
    const head = `${lines.join('\r\n')}\r\n\r\n`;
    if (chunks) write(head);
    else write(head + body, onWritten);
    for (const chunk of chunks ?? []) {
      await delay(request.pauseMs ?? 0);
      write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
    if (chunks) {
      await delay(request.pauseMs ?? 0);
      write('0\r\n\r\n', onWritten);
    }
  };
  return {
    get isClosed() {
      return isClosed;
    },
    get wasReset() {
      return wasReset;
    },
    opened,
    get sentWholeAtMs() {
      return sentWholeAtMs;
    },
    get openUntilMs() {
      return openUntilMs;
    },
    send(request) {
      received = Buffer.alloc(0);
      sentWholeAtMs = undefined;
      return new Promise(resolve => {
        notify = () => {
          const response = parseResponse(received);
          if (!response.isComplete && !isClosed) return;
          notify = undefined;
          resolve({...response, wasReset});
        };
        if (isClosed) notify();
        else void sendWhole(request);
      });
    },
    pause: () => void socket.pause(),
    resume: () => void socket.resume(),
    close: () => later(() => void socket.destroy()),
  };
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
