import {connect, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  ROUTE_PATHS,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Requests whose callers leave; some of them use the same upstream connections. */
const CALLERS = 20;

// The callers run in the gateway's own thread: what they do without a pause in
// between is what a gateway finds when it gets the processor late.
describe('caller that left before the gateway read its request', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  const connectCaller = () =>
    new Promise<Socket>(resolve => {
      const [host, port] = gateway.address.split(':');
      const socket = connect(Number(port), host, () => resolve(socket));
      socket.on('error', () => undefined);
    });
  const receivedIds = () =>
    cluster.upstreams.flatMap(({received}) =>
      received.map(({requestId}) => requestId),
    );
  const answer = (requestId: string) =>
    gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders(requestId),
    });
  const sendAndLeave = async (path: string, prefix: string, body = '') => {
    const sockets = await Promise.all(
      Array.from({length: CALLERS}, connectCaller),
    );
    // Lets the gateway accept the connections.
    await answer(`${prefix}-before`);
    sockets.forEach((socket, i) => {
      const headers = Object.entries(createKeyedHeaders(`${prefix}${i}`));
      const lines = headers.map(([name, value]) => `${name}: ${value}`);
      const method = body ? 'POST' : 'GET';
      const length = body ? [`Content-Length: ${body.length}`] : [];
      socket.write(
        `${[`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, ...lines, ...length].join('\r\n')}\r\n\r\n${body}`,
      );
      socket.destroy();
    });
    await answer(`${prefix}-after`);
    return receivedIds().filter(
      id => id.startsWith(prefix) && !id.includes('-'),
    );
  };

  it('is not sent to an upstream', async () => {
    expect(await sendAndLeave(ROUTE_PATHS.idempotent, 'i')).toEqual([]);
  });

  it('is not sent to an upstream if it is not idempotent and has a body', async () => {
    expect(await sendAndLeave(ROUTE_PATHS.once, 'o', 'booking')).toEqual([]);
  });

  it('is not sent to an upstream if it asks for a stream', async () => {
    expect(await sendAndLeave(ROUTE_PATHS.stream, 's')).toEqual([]);
  });
});
