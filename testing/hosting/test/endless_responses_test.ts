import {connect} from 'node:net';
import {after, before, beforeEach, describe, it} from 'node:test';
import type {EndlessPart} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  openKeptConnection,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Time limit of every route, in milliseconds. */
const ROUTE_TIMEOUT_MS = 5_000;

/** Time after the end of a call within which the upstream's work must end, in milliseconds. */
const CLOSE_LIMIT_MS = 500;

/** Most memory that one endless response may add to the process, in bytes. */
const MEMORY_LIMIT_BYTES = 100 * 1_048_576;

const PLAIN_PARTS: EndlessPart[] = [
  'headerValue',
  'headers',
  'interimResponses',
  'emptyLines',
  'noResponse',
  'errorBody',
  'chunkExtension',
  'trailers',
];
const STREAM_PARTS: EndlessPart[] = [
  ...PLAIN_PARTS,
  'eventLine',
  'comments',
  'newlines',
];

describe('upstreams that send bytes without end', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  let count = 0;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());
  beforeEach(() => {
    for (const upstream of cluster.upstreams) upstream.received.length = 0;
  });

  const openEndless = () =>
    cluster.upstreams.reduce((sum, upstream) => sum + upstream.openEndless, 0);
  const call = (path: string) =>
    gateway.call({path, headers: createKeyedHeaders(`e${count++}`)});
  const expectClosed = async () => {
    const startMs = performance.now();
    await waitUntil('the connection to close', () => openEndless() === 0);
    expect(performance.now() - startMs < CLOSE_LIMIT_MS).toEqual(true);
  };
  /** The first upstream that gets a request answers without end, the other one normally. */
  const makeFirstEndless = (part: EndlessPart) => {
    let isFirst = true;
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) => {
        if (isFirst) {
          isFirst = false;
          return {kind: 'endless', part};
        }
        return url.startsWith('/resumable')
          ? {kind: 'stream', events: 3}
          : {kind: 'answer'};
      };
    }
  };

  for (const part of STREAM_PARTS) {
    it(`${part}: a stream is served by another upstream`, async () => {
      makeFirstEndless(part);
      const {status, body, isComplete} = await call(ROUTE_PATHS.resumable);
      expect(status).toEqual(200);
      expect(isComplete).toEqual(true);
      expect(body).toInclude('event 2');
      await expectClosed();
    });
  }

  for (const part of PLAIN_PARTS) {
    it(`${part}: a call that may have run ends as unknown within the limit of its route`, async () => {
      makeFirstEndless(part);
      const bytesBefore = process.memoryUsage().rss;
      const startMs = performance.now();
      const {status} = await call(ROUTE_PATHS.once);
      expect(performance.now() - startMs < ROUTE_TIMEOUT_MS + 500).toEqual(
        true,
      );
      // A response that started before its body turned out to be endless has
      // the upstream's status and is cut.
      expect([200, 502, 504]).toInclude(status);
      await expectClosed();
      const addedBytes = process.memoryUsage().rss - bytesBefore;
      expect(addedBytes < MEMORY_LIMIT_BYTES).toEqual(true);
    });
  }

  // Guards against calls whose upstream is read, and parsed, for as long as their caller waits.
  for (const part of ['interimResponses', 'emptyLines'] as const) {
    it(`${part}: a call that may have run ends long before the limit of its route`, async () => {
      makeFirstEndless(part);
      const startMs = performance.now();
      const {status} = await call(ROUTE_PATHS.once);
      expect(status).toEqual(502);
      expect(performance.now() - startMs).toBeLessThan(ROUTE_TIMEOUT_MS / 2);
      await expectClosed();
    });
  }

  it('stalled streams that send a comment or part of an event now and then are resumed', async () => {
    for (const text of [': wait\n\n', 'x']) {
      let isFirst = true;
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = () => {
          if (!isFirst) return {kind: 'stream', events: 6};
          isFirst = false;
          return {kind: 'trickle', text, events: 3, everyMs: 100};
        };
      }
      const {body, isComplete} = await call(ROUTE_PATHS.resumable);
      expect(isComplete).toEqual(true);
      expect([...body.matchAll(/id: (\d)/g)].map(([, id]) => id)).toEqual([
        ...'012345',
      ]);
    }
  });

  it('slow but sound streams are not cut', async () => {
    for (const upstream of cluster.upstreams) {
      // Four times the target gap of the route.
      upstream.chooseBehaviour = () => ({
        kind: 'stream',
        events: 5,
        gapMs: 800,
      });
    }
    const {isComplete} = await call(ROUTE_PATHS.resumable);
    expect(isComplete).toEqual(true);
    const sent = cluster.upstreams.flatMap(({received}) => received);
    expect(sent.length).toEqual(1);
  });
});

describe('callers that send bytes without end', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(1);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  /** Sends the bytes until the gateway closes the connection; returns how long that took. */
  const sendEndless = (start: string, repeated: string) =>
    new Promise<number>(resolve => {
      const [host, port] = gateway.address.split(':');
      const startMs = performance.now();
      const socket = connect(Number(port), host);
      const block = repeated.repeat(100);
      const timer = setInterval(() => socket.write(block), 2);
      socket.write(start);
      socket.on('error', () => undefined);
      socket.resume();
      socket.once('close', () => {
        clearInterval(timer);
        resolve(performance.now() - startMs);
      });
    });
  const HEAD = `POST ${ROUTE_PATHS.once} HTTP/1.1\r\nHost: ${HOST}\r\n`;
  const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
  const CASES = {
    'a header': [`${HEAD}X-Long: `, 'x'],
    headers: [HEAD, 'X-More: 1\r\n'],
    'a body': [CHUNKED, '3\r\nabc\r\n'],
    'a chunk extension': [`${CHUNKED}3;`, 'x'],
  } as const;
  for (const [name, [start, repeated]] of Object.entries(CASES)) {
    it(`${name}: the connection is closed and nothing is sent to an upstream`, async () => {
      expect((await sendEndless(start, repeated)) < 8_000).toEqual(true);
      expect(cluster.upstreams[0].received.length).toEqual(0);
    });
  }

  it('a body that is over the limit can be sent to its end, and its refusal is read', async () => {
    const connection = openKeptConnection(gateway.address);
    const {status, isComplete} = await connection.send({
      path: ROUTE_PATHS.once,
      headers: createKeyedHeaders('over the limit'),
      chunks: Array.from({length: 320}, () => 'x'.repeat(50_000)),
    });
    expect({status, isComplete}).toEqual({status: 413, isComplete: true});
    await delay(1_500);
    expect(connection.wasReset).toEqual(false);
    connection.close();
  });
});

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
