import {
  createServer,
  request as sendRequest,
  type IncomingMessage,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import fc from 'fast-check';
import {
  hostileServiceAnswer,
  type HostileAnswer,
  type SoundAnswer,
} from './hostile_service_answers.js';

/** Pause before additional bytes, and between the bytes of an endless answer, in milliseconds. */
const EXTRA_BYTES_DELAY_MS = 20;

/** Size of the pieces of an answer that does not end, in bytes. */
const FLOOD_CHUNK_BYTES = 65_536;

/** Most bytes of an answer that does not end. */
const MAX_FLOOD_BYTES = 32_000_000;

/** Headers that belong to a connection or that the relay writes itself. */
const OWN_HEADERS = [
  ...['connection', 'keep-alive', 'transfer-encoding', 'content-length'],
  'date',
];

/** Seeds of the answers of one run do not meet those of another. */
const SEED_STRIDE = 100_003;

/** A number from 0 to below 1; fc.double would prefer those near 0. */
const uniformShare = fc.noBias(fc.nat({max: 9_999})).map(n => n / 10_000);

/** Options for `startHostileRelay`. */
export interface HostileRelayOptions {
  /** Equal seeds give equal answers to the same calls in the same order. */
  seed: number;
  /** Address of the service, as host:port; asked for at each call. */
  target: () => string;
  /** IP address and port to listen on; a free port of the loopback interface if absent. */
  host?: string;
  port?: number;
}

/** Stands between a service and its clients. */
export interface HostileRelay {
  readonly port: number;
  /** Share of the calls that get a hostile answer, from 0 to 1. */
  hostileShare: number;
  /** Number of answers so far. */
  readonly sound: number;
  readonly hostile: number;
  /** Number of calls so far, by the last part of their paths. */
  readonly calls: ReadonlyMap<string, number>;
  close(): Promise<void>;
}

/**
 * Starts a relay that passes each call on and returns its answer, or for a share of the
 * calls, by seed, what no sound service answers.
 */
export async function startHostileRelay(
  options: HostileRelayOptions,
): Promise<HostileRelay> {
  const {seed, target, host = '127.0.0.1', port = 0} = options;
  const calls = new Map<string, number>();
  let calledCount = 0;
  const server = createServer((request, response) => {
    // All bytes are written to the socket; the response keeps nothing in order then.
    response.on('error', () => undefined);
    const number = calledCount++;
    const name = (request.url ?? '').split('?')[0].split('/').at(-1)!;
    calls.set(name, (calls.get(name) ?? 0) + 1);
    passOn(request, target()).then(
      answer => {
        if (sample(uniformShare) >= relay.hostileShare) {
          relay.sound++;
          request.socket.write(toBytes(answer));
          return;
        }
        relay.hostile++;
        send(request.socket, sample(hostileServiceAnswer)(answer));
      },
      () => request.socket.destroy(),
    );
    const sample = <T>(arbitrary: fc.Arbitrary<T>): T =>
      fc.sample(arbitrary, {seed: seed * SEED_STRIDE + number, numRuns: 1})[0];
  });
  server.on('connection', socket => socket.on('error', () => undefined));
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  const relay = {
    port: (server.address() as AddressInfo).port,
    hostileShare: 0,
    sound: 0,
    hostile: 0,
    calls,
    close: () =>
      new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return relay;
}

/** Sends a request to the service; rejects if there is no whole response. */
async function passOn(
  request: IncomingMessage,
  target: string,
): Promise<SoundAnswer> {
  const [host, port] = target.split(':');
  const answer = await new Promise<IncomingMessage>((resolve, reject) => {
    const sent = sendRequest(
      {
        host,
        port,
        method: request.method,
        path: request.url,
        headers: request.headers,
        agent: false,
      },
      resolve,
    );
    sent.once('error', reject);
    // The client may leave during a long poll.
    const abort = () => sent.destroy();
    request.socket.once('close', abort);
    sent.once('close', () => request.socket.off('close', abort));
    request.pipe(sent);
  });
  const chunks: Buffer[] = [];
  for await (const chunk of answer) chunks.push(chunk as Buffer);
  const headerLines: string[] = [];
  for (const [name, value] of Object.entries(answer.headers)) {
    if (!OWN_HEADERS.includes(name)) {
      headerLines.push(`${name}: ${String(value)}`);
    }
  }
  return {
    status: answer.statusCode!,
    headerLines,
    body: Buffer.concat(chunks).toString(),
  };
}

function toBytes({status, headerLines, body}: SoundAnswer): Buffer {
  const lines = [
    `HTTP/1.1 ${status} x`,
    ...headerLines,
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n${body}`);
}

function send(socket: Socket, {bytes, ending}: HostileAnswer): void {
  socket.write(bytes);
  const endings: Readonly<Record<HostileAnswer['ending'], () => void>> = {
    keptOpen: () => undefined,
    closed: () => void socket.end(),
    reset: () => void setImmediate(() => socket.resetAndDestroy()),
    extraBytes: () =>
      void setTimeout(() => socket.write(bytes), EXTRA_BYTES_DELAY_MS),
    flood() {
      const chunk = Buffer.alloc(
        FLOOD_CHUNK_BYTES,
        bytes.length > 0 ? bytes : ' ',
      );
      let leftBytes = MAX_FLOOD_BYTES;
      const write = () => {
        leftBytes -= chunk.length;
        if (!socket.writable || leftBytes <= 0) return;
        socket.write(chunk, write);
      };
      write();
    },
    trickle() {
      const timer = setInterval(() => {
        if (socket.writable) socket.write(' ');
        else clearInterval(timer);
      }, EXTRA_BYTES_DELAY_MS);
    },
  };
  endings[ending]();
}
