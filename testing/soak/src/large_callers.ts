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
  /** Every how many calls one is left in the middle of its body; none if absent. */
  leaveEvery?: number;
  /** Every how many calls one calls for an event stream; none if absent. */
  streamEvery?: number;
}

/** Paths of large calls. */
export interface LargeCallPaths {
  answer: string;
  stream: string;
}

/** Callers of large calls, as fast as they are served. */
export interface LargeCallers {
  /** Number of finished calls by status; 0 for those that ended without a complete response. */
  readonly outcomes: ReadonlyMap<number, number>;
  /** Ends the callers; their open calls are reset. */
  stop(): Promise<void>;
}

/** One call of a caller. */
interface LargeCall {
  id: string;
  path: string;
  body: Buffer;
  /** Time for which the response stays unread, in milliseconds. */
  pauseMs: number;
  /** Whether the caller leaves in the middle of the body. */
  isLeft: boolean;
}

/** Time for which a slow caller leaves its response unread, in milliseconds. */
const SLOW_READER_PAUSE_MS = 500;

/** Pause after a refusal or a lost connection, in milliseconds. */
const PAUSE_MS = 20;

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Starts callers that send their bodies as fast as the process at the address takes them. */
export function startLargeCallers(
  address: string,
  paths: LargeCallPaths,
  {
    bodyBytes,
    callers,
    slowEvery = Infinity,
    leaveEvery = Infinity,
    streamEvery = Infinity,
  }: LargeCallPattern,
): LargeCallers {
  const outcomes = new Map<number, number>();
  const largestBody = Buffer.alloc(Math.max(...bodyBytes), 'b');
  let isStopped = false;
  let calls = 0;
  const open = new Set<Socket>();

  const runCaller = async (caller: number) => {
    const pauseMs = isNth(caller, slowEvery) ? SLOW_READER_PAUSE_MS : 0;
    let socket: Socket | undefined;
    while (!isStopped) {
      const call = calls++;
      if (!socket || socket.destroyed) {
        socket = openSocket(address);
        open.add(socket);
        socket.once('close', () => open.delete(socket!));
      }
      const isLeft = isNth(call, leaveEvery);
      const status = await sendCall(socket, {
        id: `large-${call}`,
        path: isNth(call, streamEvery) ? paths.stream : paths.answer,
        body: largestBody.subarray(0, bodyBytes[call % bodyBytes.length]),
        pauseMs,
        isLeft,
      });
      if (isStopped) return;
      if (!isLeft) outcomes.set(status, (outcomes.get(status) ?? 0) + 1);
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

function isNth(index: number, every: number): boolean {
  return (index + 1) % every === 0;
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
  {id, path, body, pauseMs, isLeft}: LargeCall,
): Promise<number> {
  const headers = Object.entries({
    ...createKeyedHeaders(id),
    'Content-Length': body.length,
  }).map(([name, value]) => `${name}: ${value}`);
  return new Promise(resolve => {
    let head = '';
    let status = 0;
    let bytesLeft = Infinity;
    let lastBytes = '';
    const settle = (result: number) => {
      socket.off('data', onData);
      socket.off('close', onClose);
      resolve(result);
    };
    const onClose = () => settle(0);
    const isComplete = () =>
      Number.isNaN(bytesLeft) ? lastBytes === LAST_CHUNK : bytesLeft <= 0;
    const onHead = (restBytes: number) => {
      status = Number(head.slice(9, 12));
      // Without a length, the response is in chunks.
      const length = /content-length: (\d+)/i.exec(head)?.[1] ?? NaN;
      bytesLeft = Number(length) - restBytes;
      if (pauseMs === 0 || isComplete()) return;
      socket.pause();
      setTimeout(() => socket.resume(), pauseMs);
    };
    const onData = (chunk: Buffer) => {
      lastBytes = (
        lastBytes + chunk.toString('latin1', Math.max(0, chunk.length - 5))
      ).slice(-LAST_CHUNK.length);
      if (bytesLeft === Infinity) {
        const text = chunk.toString('latin1');
        const end = (head + text).indexOf(HEAD_END);
        const bodyStart = end + HEAD_END.length - head.length;
        head += text;
        if (end < 0) return;
        onHead(chunk.length - bodyStart);
      } else bytesLeft -= chunk.length;
      if (!isComplete()) return;
      if (/connection: close/i.test(head)) socket.destroy();
      settle(status);
    };
    socket.on('data', onData);
    socket.once('close', onClose);
    socket.write(
      [`POST ${path} HTTP/1.1`, `Host: ${HOST}`, ...headers, '', ''].join(
        '\r\n',
      ),
    );
    if (isLeft) {
      const half = body.subarray(0, body.length / 2);
      socket.write(half, () => socket.destroy());
    } else {
      socket.write(body);
    }
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
