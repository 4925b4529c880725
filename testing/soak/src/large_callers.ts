import {connect, type Socket} from 'node:net';
import {createKeyedHeaders, HOST} from '@sardinestile/hosting_tests';

/** What callers of large calls send and how they read. */
export interface LargeCallPattern {
  /** Sizes of the bodies, of which each call takes the next one, in bytes. */
  bodyBytes: readonly number[];
  /** Callers that each have one call open at a time. */
  callers: number;
  /** Every how many callers one reads slowly; none if absent. */
  slowEvery?: number;
}

/** Callers of large calls, as fast as they are served. */
export interface LargeCallers {
  /** Number of finished calls by status; 0 for those that ended without a complete response. */
  readonly outcomes: ReadonlyMap<number, number>;
  /** Ends the callers; their open calls are reset. */
  stop(): Promise<void>;
}

/** Time for which a slow caller leaves its response unread, in milliseconds. */
const SLOW_READER_PAUSE_MS = 500;

/** Pause after a refusal or a lost connection, in milliseconds. */
const PAUSE_MS = 20;

const HEAD_END = '\r\n\r\n';

/** Starts callers that send their bodies as fast as the process at the address takes them. */
export function startLargeCallers(
  address: string,
  path: string,
  {bodyBytes, callers, slowEvery = Infinity}: LargeCallPattern,
): LargeCallers {
  const outcomes = new Map<number, number>();
  const largestBody = Buffer.alloc(Math.max(...bodyBytes), 'b');
  let isStopped = false;
  let calls = 0;
  const open = new Set<Socket>();

  const runCaller = async (caller: number) => {
    const pauseMs = (caller + 1) % slowEvery === 0 ? SLOW_READER_PAUSE_MS : 0;
    let socket: Socket | undefined;
    while (!isStopped) {
      const call = calls++;
      if (!socket || socket.destroyed) {
        socket = openSocket(address);
        open.add(socket);
        socket.once('close', () => open.delete(socket!));
      }
      const body = largestBody.subarray(0, bodyBytes[call % bodyBytes.length]);
      const status = await sendCall(socket, path, call, body, pauseMs);
      if (isStopped) return;
      outcomes.set(status, (outcomes.get(status) ?? 0) + 1);
      if (status !== 200) await sleep(PAUSE_MS);
    }
  };
  const running = Array.from({length: callers}, (_, i) => runCaller(i));
  return {
    outcomes,
    async stop() {
      isStopped = true;
      open.forEach(socket => socket.destroy());
      await Promise.all(running);
    },
  };
}

function openSocket(address: string): Socket {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  // The call that is open ends with the close.
  socket.on('error', () => undefined);
  return socket;
}

/** Sends a call and reads its response; returns its status, or 0 if the connection ended before. */
function sendCall(
  socket: Socket,
  path: string,
  call: number,
  body: Buffer,
  pauseMs: number,
): Promise<number> {
  const headers = Object.entries({
    ...createKeyedHeaders(`large-${call}`),
    'Content-Length': body.length,
  }).map(([name, value]) => `${name}: ${value}`);
  return new Promise(resolve => {
    let head = '';
    let status = 0;
    let bytesLeft = Infinity;
    const settle = (result: number) => {
      socket.off('data', onData);
      socket.off('close', onClose);
      resolve(result);
    };
    const onClose = () => settle(0);
    const onData = (chunk: Buffer) => {
      if (bytesLeft === Infinity) {
        const text = chunk.toString('latin1');
        const end = (head + text).indexOf(HEAD_END);
        if (end < 0) return void (head += text);
        const bodyStart = end + HEAD_END.length - head.length;
        head += text;
        status = Number(head.slice(9, 12));
        const length = /content-length: (\d+)/i.exec(head)?.[1] ?? 0;
        bytesLeft = Number(length) - (chunk.length - bodyStart);
        if (pauseMs > 0 && bytesLeft > 0) {
          socket.pause();
          setTimeout(() => socket.resume(), pauseMs);
        }
      } else bytesLeft -= chunk.length;
      if (bytesLeft <= 0) settle(status);
    };
    socket.on('data', onData);
    socket.once('close', onClose);
    socket.write(
      [`POST ${path} HTTP/1.1`, `Host: ${HOST}`, ...headers, '', ''].join(
        '\r\n',
      ),
    );
    socket.write(body);
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
