import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {after, afterEach, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createKeyedHeaders,
  HOST,
  ROUTE_PATHS,
  waitUntil,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {
  createSingleGateway,
  type SingleGateway,
} from '../src/single_gateway.js';

/** Callers whose bodies do not end, and bytes of each. */
const CALLERS = 60;
const BODY_BYTES = 60_000;

/** Calls with a large answer at once, and bytes of each answer. */
const LARGE_CALLS = 4;
const ANSWER_BYTES = 1_000_000;

/** Time for which messages arrive, in milliseconds. */
const LOAD_MS = 6_000;

const TIMEOUT_MS = 30_000;

const LOADS = [
  {
    name: 'bodies',
    path: ROUTE_PATHS.idempotent,
    calls: CALLERS,
    encoding: {'Transfer-Encoding': 'chunked'},
    body: inSmallChunks('b'.repeat(BODY_BYTES)),
    type: 'text/plain',
    answer: 'done',
  },
  {
    name: 'answers',
    path: ROUTE_PATHS.idempotent,
    calls: LARGE_CALLS,
    encoding: {'Content-Length': '1'},
    body: 'b',
    type: 'text/plain',
    answer: 'a'.repeat(ANSWER_BYTES),
  },
  {
    name: 'events',
    path: ROUTE_PATHS.resumable,
    calls: LARGE_CALLS,
    encoding: {'Content-Length': '1'},
    body: 'b',
    type: 'text/event-stream',
    answer: `id: 0\ndata: ${'a'.repeat(ANSWER_BYTES)}\n\n`,
  },
] as const;

function inSmallChunks(text: string): string {
  return text.replaceAll(/[^]/g, '1\r\n$&\r\n');
}

describe('a gateway process with a small heap does not run out of it', () => {
  let single: SingleGateway;
  let sockets: Socket[] = [];

  before(async () => {
    single = await createSingleGateway();
  });
  afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await single.process.stop();
  });
  after(() => single.close());

  for (const {name, path, calls, encoding, body, type, answer} of LOADS) {
    it(`when large ${name} arrive in chunks of one byte`, async () => {
      for (const upstream of single.cluster.upstreams) {
        upstream.chooseBehaviour = ({requestId}) => ({
          kind: 'raw',
          bytes: Buffer.from(
            [
              'HTTP/1.1 200 OK',
              `Request-Id: ${requestId}`,
              `Response-Stamp: ${upstream.id}.${requestId}`,
              `Content-Type: ${type}`,
              'Transfer-Encoding: chunked',
              '',
              `${inSmallChunks(answer)}0\r\n\r\n`,
            ].join('\r\n'),
          ),
        });
      }
      single.start();
      await single.waitUntilReady();
      const [host, port] = single.process.address.split(':');
      sockets = Array.from({length: calls}, () => connect(Number(port), host));
      await Promise.all(
        sockets.map(async (socket, i) => {
          socket.on('error', () => undefined).resume();
          await once(socket, 'connect');
          const headers = createKeyedHeaders(`${name}-${i}`, encoding);
          const lines = Object.entries({Host: HOST, ...headers}).map(
            ([key, value]) => `${key}: ${value}\r\n`,
          );
          socket.write(`POST ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
        }),
      );
      await sleep(LOAD_MS);
      expect(single.process.unexpectedExits).toEqual([]);
      await waitUntil('readiness', single.isReady, TIMEOUT_MS);
      expect(single.process.unexpectedExits).toEqual([]);
    });
  }
});
