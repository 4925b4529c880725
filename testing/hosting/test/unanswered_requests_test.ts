import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  openKeptConnection,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

describe('the lines of a gateway about requests without a whole response', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(1);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  const findLine = (...parts: string[]) =>
    gateway.logs.find(line => parts.every(part => line.includes(part)));
  const send = (id: string) => {
    const connection = openKeptConnection(gateway.address);
    const response = connection.send({
      path: ROUTE_PATHS.stream,
      headers: createKeyedHeaders(id),
    });
    return {connection, response};
  };

  it('say at any time that the gateway broke off a response', async () => {
    cluster.upstreams[0].chooseBehaviour = () => ({
      kind: 'stream',
      events: 9,
      breakAfter: 2,
    });
    expect((await send('cut').response).isComplete).toEqual(false);
    const parts = ['caller_connection_ended', 'requestIds=cut'];
    await waitUntil('the line', () => findLine(...parts) !== undefined);
    const line = findLine(...parts)!;
    expect(line).toInclude('reason=brokenOff');
    expect(line).toInclude('incompleteRequests=0');
    expect(line).not.toInclude('peerEnd=');
  });

  it('leave a caller that left to the line of its call', async () => {
    cluster.upstreams[0].chooseBehaviour = () => ({
      kind: 'stream',
      events: 1,
      silentAfter: 0,
    });
    const {connection} = send('left');
    await waitUntil('the request to run', () =>
      cluster.upstreams[0].received.some(({requestId}) => requestId === 'left'),
    );
    connection.close();
    await waitUntil(
      'the line',
      () => findLine('call_ended', 'requestId=left') !== undefined,
    );
    expect(findLine('requestId=left', 'outcome=callerLeft')).not.toEqual(
      undefined,
    );
    expect(findLine('requestIds=left')).toEqual(undefined);
  });

  it('count both at the end of the process', async () => {
    await gateway.handle.close();
    expect(findLine('process_stopped')!).toInclude(
      'requests=2 unanswerable=0 abandoned=1 unanswered=1 unansweredBy=brokenOff:1',
    );
  });
});
