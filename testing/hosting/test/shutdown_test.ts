import {connect, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  HOST,
  createKeyedHeaders,
  parseResponse,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

/** Opens a keep-alive connection that can send several requests. */
function openKeepAlive(address: string) {
  const [host, port] = address.split(':');
  const socket: Socket = connect(Number(port), host);
  let received = Buffer.alloc(0);
  let isClosed = false;
  socket.on('data', (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
  });
  socket.on('close', () => (isClosed = true));
  socket.on('error', () => undefined);
  return {
    get isClosed() {
      return isClosed;
    },
    async call(path: string, id: string) {
      received = Buffer.alloc(0);
      const headers = Object.entries(createKeyedHeaders(id)).map(
        ([k, v]) => `${k}: ${v}`,
      );
      socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\n${headers.join('\r\n')}\r\n\r\n`,
      );
      await waitUntil(
        'the response',
        () => isClosed || parseResponse(received).isComplete,
      );
      return parseResponse(received);
    },
  };
}

describe('a gateway that shuts down', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  it('completes running requests, closes keep-alive connections and sends late requests to no upstream', async () => {
    const idle = openKeepAlive(gateway.address);
    expect((await idle.call(ROUTE_PATHS.idempotent, 'i1')).status).toEqual(200);
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) =>
        url === ROUTE_PATHS.stream
          ? {kind: 'stream', events: 50, gapMs: 80}
          : {kind: 'answer'};
    }
    const streaming = openKeepAlive(gateway.address);
    const stream = streaming.call(ROUTE_PATHS.stream, 's1');
    await waitUntil('the stream to start', () =>
      cluster.upstreams.some(({received}) =>
        received.some(r => r.requestId === 's1'),
      ),
    );
    const stopped = gateway.handle.stop();
    expect(await gateway.isReady()).toEqual(false);

    const during = await idle.call(ROUTE_PATHS.idempotent, 'i2');
    expect(during.status).toEqual(200);
    expect(during.headers.connection).toEqual('close');

    const streamed = await stream;
    expect(streamed.isComplete).toEqual(true);
    expect([...streamed.body.matchAll(/data: event/g)].length).toEqual(50);
    await waitUntil(
      'the connection of the stream to close',
      () => streaming.isClosed,
    );

    const before = cluster.upstreams.flatMap(({received}) => received).length;
    const late = openKeepAlive(gateway.address);
    const refused = await late.call(ROUTE_PATHS.idempotent, 'l1');
    expect([0, 503]).toInclude(refused.status);
    const afterwards = cluster.upstreams.flatMap(
      ({received}) => received,
    ).length;
    expect(afterwards).toEqual(before);
    await stopped;
  });
});
