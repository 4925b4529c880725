import {connect, type Socket} from 'node:net';
import {createKeyedHeaders, HOST} from '@sardinestile/hosting_tests';

/** What callers of large calls send and how they read. */
export interface LargeCallPattern {
  /** Sizes of the bodies, of which each call takes the next one, in bytes. */
  bodyBytes: readonly number[];
  /** Returns a body of a size; bytes without a meaning if absent. */
  createBody?: (bytes: number) => Buffer;
  /** Callers that each have one call open at a time. */
  callers: number;
  /** Every how many callers one reads slowly; none if absent. */
  slowEvery?: number;
  /** Every how many calls one is broken off within its body; none if absent. */
  brokenEvery?: number;
  /** Every how many calls one calls `streamPath`, for an event stream; none if absent. */
  streamEvery?: number;
  streamPath?: string;
  /** Pause after a refusal or a lost connection, in milliseconds; 20 if absent. */
  pauseMs?: number;
  /** Start of the request ids; "large" if absent. */
  name?: string;
  /** Headers beside the usual ones, of which each call takes the next ones. */
  headers?: ReadonlyArray<Readonly<Record<string, string>>>;
}

/** Callers of large calls, as fast as they are served. */
export interface LargeCallers {
  /** Number of finished calls by status; 0 for those that ended without a complete response. */
  readonly outcomes: ReadonlyMap<number, number>;
  /** A line for each refusal that does not say when to retry. */
  readonly failures: readonly string[];
  /** Ends the callers; their open calls are reset. */
  stop(): Promise<void>;
}

/** Time for which a slow caller leaves its response unread, in milliseconds. */
const SLOW_READER_PAUSE_MS = 500;

/** Pause after a refusal or a lost connection, and within a body that is broken off, in milliseconds. */
const PAUSE_MS = 20;

/** Statuses that say when to retry. */
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Starts callers that send their bodies as fast as the process at the address takes them. */
export function startLargeCallers(
  address: string,
  path: string,
  {
    bodyBytes,
    createBody = bytes => Buffer.alloc(bytes, 'b'),
    callers,
    slowEvery = Infinity,
    brokenEvery = Infinity,
    streamEvery = Infinity,
    streamPath = path,
    pauseMs = PAUSE_MS,
    name = 'large',
    headers: headersOfCalls = [{}],
  }: LargeCallPattern,
): LargeCallers {
  const outcomes = new Map<number, number>();
  const failures: string[] = [];
  const bodies = bodyBytes.map(createBody);
  let isStopped = false;
  let calls = 0;
  const open = new Set<Socket>();

  const runCaller = async (caller: number) => {
    const readPauseMs = isNth(caller, slowEvery) ? SLOW_READER_PAUSE_MS : 0;
    let socket: Socket | undefined;
    while (!isStopped) {
      const call = calls++;
      if (!socket || socket.destroyed) {
        socket = openSocket(address);
        open.add(socket);
        socket.once('close', () => open.delete(socket!));
      }
      const body = bodies[call % bodies.length];
      const id = `${name}-${call}`;
      const headers = createKeyedHeaders(id, {
        ...headersOfCalls[call % headersOfCalls.length],
        'Content-Length': String(body.length),
      });
      const head = renderHead(
        isNth(call, streamEvery) ? streamPath : path,
        headers,
      );
      if (isNth(call, brokenEvery)) {
        await breakOff(socket, head, body);
        continue;
      }
      const response = await sendCall(socket, head, body, readPauseMs);
      if (isStopped) return;
      const {status} = response;
      if (REFUSALS.has(status) && !/\r\nretry-after: /i.test(response.head)) {
        failures.push(`${id} got ${status} without Retry-After`);
      }
      outcomes.set(status, (outcomes.get(status) ?? 0) + 1);
      if (status !== 200) await sleep(pauseMs);
    }
  };
  const running = Array.from({length: callers}, (_, i) => runCaller(i));
  return {
    outcomes,
    failures,
    async stop() {
      isStopped = true;
      open.forEach(socket => socket.destroy());
      await Promise.all(running);
    },
  };
}

/** Whether a call or caller, counted from 0, is one of each `every`. */
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

function renderHead(
  path: string,
  headers: Readonly<Record<string, string>>,
): string {
  const lines = Object.entries({Host: HOST, ...headers}).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`POST ${path} HTTP/1.1`, ...lines, '', ''].join('\r\n');
}

/** Sends the head and half of the body, and resets the connection. */
async function breakOff(
  socket: Socket,
  head: string,
  body: Buffer,
): Promise<void> {
  socket.write(head);
  socket.write(body.subarray(0, body.length / 2));
  await sleep(PAUSE_MS);
  socket.resetAndDestroy();
}

/** What a caller received of a response; status 0 if the connection ended before its end. */
interface LargeResponse {
  status: number;
  head: string;
}

/** Sends a call and reads its response. */
function sendCall(
  socket: Socket,
  requestHead: string,
  body: Buffer,
  pauseMs: number,
): Promise<LargeResponse> {
  return new Promise(resolve => {
    let head = '';
    let status = 0;
    let bytesLeft = Infinity;
    let lastBytes = '';
    const settle = (result: number) => {
      socket.off('data', onData);
      socket.off('close', onClose);
      resolve({status: result, head});
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
    socket.write(requestHead);
    socket.write(body);
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
