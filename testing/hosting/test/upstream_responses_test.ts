import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';

describe('upstream responses', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  /** Applies a behaviour to the next request that any upstream receives; later requests get a normal response. */
  const behaveOnce = (behaviour: UpstreamBehaviour) => {
    let isFirst = true;
    for (const upstream of cluster.upstreams) {
      upstream.received.length = 0;
      upstream.chooseBehaviour = () => {
        const chosen = isFirst ? behaviour : {kind: 'answer' as const};
        isFirst = false;
        return chosen;
      };
    }
  };
  const receivedRequests = () =>
    cluster.upstreams.flatMap(({received}) => received);

  it('forwards a complete response unchanged', async () => {
    behaveOnce({kind: 'answer', status: 200, body: 'booked'});
    const response = await gateway.call({
      method: 'POST',
      path: ROUTE_PATHS.once,
      headers: createKeyedHeaders('a1'),
      body: 'order',
    });
    expect(response.status).toEqual(200);
    expect(response.body).toEqual('booked');
    expect(response.headers['response-stamp']).toEqual(
      `${cluster.upstreams.find(u => u.received.length > 0)?.id}.a1`,
    );
    expect(receivedRequests()[0].body.toString()).toEqual('order');
  });

  it('forwards a 500 response to a request that must not be retried', async () => {
    behaveOnce({kind: 'answer', status: 500, body: 'broken'});
    const path = ROUTE_PATHS.once;
    const response = await gateway.call({
      method: 'POST',
      path,
      headers: createKeyedHeaders('a2'),
      body: 'x',
    });
    expect(response.status).toEqual(500);
    expect(receivedRequests().length).toEqual(1);
  });

  describe('an incomplete or wrong response', () => {
    const cases: UpstreamBehaviour[] = [
      {kind: 'resetUnframed'},
      {kind: 'truncate'},
      {kind: 'crossed'},
      {kind: 'reset'},
    ];
    for (const behaviour of cases) {
      it(`${behaviour.kind}: gives 502 without a retry if the request must not be retried`, async () => {
        behaveOnce(behaviour);
        const path = ROUTE_PATHS.once;
        const headers = createKeyedHeaders(`b-${behaviour.kind}`);
        const response = await gateway.call({
          method: 'POST',
          path,
          headers,
          body: 'x',
        });
        expect(response.status).toEqual(502);
        expect(receivedRequests().length).toEqual(1);
      });

      it(`${behaviour.kind}: is retried if the request is idempotent`, async () => {
        behaveOnce(behaviour);
        const headers = createKeyedHeaders(`c-${behaviour.kind}`);
        const response = await gateway.call({
          path: ROUTE_PATHS.idempotent,
          headers,
        });
        expect(response.status).toEqual(200);
        expect(response.body).toEqual('done');
        expect(receivedRequests().length).toEqual(2);
      });
    }
  });

  it('forwards a response without a length in chunks, without a length', async () => {
    behaveOnce({kind: 'unframed', body: 'perhaps whole'});
    const headers = createKeyedHeaders('f1');
    const response = await gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers,
    });
    expect(response.body).toEqual('perhaps whole');
    expect('content-length' in response.headers).toEqual(false);
    expect(response.headers['transfer-encoding']).toEqual('chunked');
    expect(response.isComplete).toEqual(true);
  });

  it('logs how a response was framed, how much arrived and how its connection ended', async () => {
    behaveOnce({kind: 'unframed', body: 'perhaps whole'});
    const headers = createKeyedHeaders('logged');
    await gateway.call({path: ROUTE_PATHS.idempotent, headers});
    const lineOf = (event: string) =>
      gateway.logs.find(
        line =>
          line.includes(`event=${event} `) && line.includes('requestId=logged'),
      );
    expect(lineOf('attempt_ended')).toEqual(
      expect.includes('framing=close bodyBytes=13 upstreamSide=closed'),
    );
    expect(lineOf('call_ended')).toEqual(expect.includes('bodyBytes=13'));
  });

  it('does not give a surplus response to the next request', async () => {
    behaveOnce({kind: 'extra'});
    const headers = createKeyedHeaders('d1');
    expect(
      (await gateway.call({path: ROUTE_PATHS.idempotent, headers})).body,
    ).toEqual('done');
    await new Promise(resolve => setTimeout(resolve, 60));
    for (let i = 0; i < 6; i++) {
      const response = await gateway.call({
        path: ROUTE_PATHS.idempotent,
        headers: createKeyedHeaders(`d2-${i}`),
      });
      expect(response.body).toEqual('done');
      expect(response.headers['request-id']).toEqual(`d2-${i}`);
    }
  });

  it('sends no request that must not be retried on an idle connection after an upstream reset one', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'answer'});
      upstream.idleResetMs = 120;
    }
    const statuses: number[] = [];
    for (let i = 0; i < 8; i++) {
      const headers = createKeyedHeaders(`rest${i}`);
      const {status} = await gateway.call({path: ROUTE_PATHS.once, headers});
      statuses.push(status);
      await new Promise(resolve => setTimeout(resolve, 200));
    }
    const lost = statuses.filter(status => status !== 200);
    expect(lost.length <= 1).toEqual(true);
    for (const server of cluster.upstreams) server.idleResetMs = Infinity;
  });

  it('returns 503 with Retry-After when every upstream refused the request', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'refuse'});
    }
    const path = ROUTE_PATHS.once;
    const response = await gateway.call({
      method: 'POST',
      path,
      headers: createKeyedHeaders('e1'),
      body: 'x',
    });
    expect(response.status).toEqual(503);
    expect(Number(response.headers['retry-after']) > 0).toEqual(true);
  });
});
