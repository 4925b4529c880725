import {connect} from 'node:net';
import {after, before, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

describe('routes', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  beforeEach(() => {
    for (const upstream of cluster.upstreams) {
      upstream.received.length = 0;
      upstream.chooseBehaviour = () => ({kind: 'answer'});
    }
  });
  after(() => cluster.close());

  const receivedRequests = () =>
    cluster.upstreams.flatMap(({received}) => received);

  it('returns 404 for an unknown path', async () => {
    const response = await gateway.call({
      path: '/unknown/x',
      headers: createKeyedHeaders('a'),
    });
    expect(response.status).toEqual(404);
  });

  it('sends the upstream the organisation of the key, without the key or forged headers', async () => {
    const headers = createKeyedHeaders('k1', {
      Tenant: 'forged',
      'Kv-From': '1.2.3.4:5/x',
    });
    await gateway.call({path: ROUTE_PATHS.idempotent, headers});
    const [{headers: received}] = receivedRequests();
    expect(received.tenant).toEqual('org-one');
    expect(received.authorization).toEqual(undefined);
    expect(received['kv-from']).toEqual(undefined);
    expect(received['expect-instance']).toEqual(
      cluster.upstreams.find(u => u.received.length > 0)?.id,
    );
    expect(Number(received['deadline-ms']) <= 8_000).toEqual(true);
  });

  it('rejects an unknown key with 401', async () => {
    const headers = createKeyedHeaders('k2', {Authorization: 'Bearer nobody'});
    const response = await gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers,
    });
    expect(response.status).toEqual(401);
    expect(receivedRequests().length).toEqual(0);
  });

  it('sends a misdirected request to another upstream with the same path and body', async () => {
    let isFirst = true;
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => {
        const kind = isFirst ? ('misdirect' as const) : ('answer' as const);
        isFirst = false;
        return {kind};
      };
    }
    const body = 'x'.repeat(50_000);
    const path = `${ROUTE_PATHS.once}?a=1&b=%20`;
    const response = await gateway.call({
      method: 'POST',
      path,
      headers: createKeyedHeaders('m1'),
      body,
    });
    expect(response.status).toEqual(200);
    expect(receivedRequests().map(run => run.body.toString() === body)).toEqual(
      [true, true],
    );
    expect(receivedRequests()[1].url).toEqual(path);
  });

  it('rejects a request with two body lengths and does not run the request smuggled in it', async () => {
    const [host, port] = gateway.address.split(':');
    const socket = connect(Number(port), host);
    const hidden = `POST ${ROUTE_PATHS.once} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: hidden\r\nAuthorization: Bearer key-one\r\n\r\n`;
    socket.write(
      `POST ${ROUTE_PATHS.once} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: outer\r\n` +
        'Authorization: Bearer key-one\r\nContent-Length: 4\r\n' +
        `Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
    );
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
    await new Promise(resolve => socket.on('close', resolve));
    expect(text.startsWith('HTTP/1.1 400')).toEqual(true);
    expect(receivedRequests().length).toEqual(0);
  });

  it('applies a changed configuration and never an older version', async () => {
    await cluster.addUpstream('other', 'other-pool');
    const version = cluster.configure(config => {
      config.services.push({name: 'other-pool', max_conns: 10});
      const route = config.routes.find(({name}) => name === 'open');
      route!.service = 'other-pool';
    });
    await waitUntil('the version to be applied', () =>
      gateway.logs.some(line =>
        line.includes(`config_applied version=${version}`),
      ),
    );
    const old = {version: version - 1, routes: [], services: [], limits: {}};
    cluster.store.putJson('op', 'config', old);
    const headers = {'Request-Id': 'c1', 'Deadline-Ms': '1000'};
    const stamp = async () =>
      (await gateway.call({path: ROUTE_PATHS.open, headers})).headers[
        'response-stamp'
      ];
    await waitUntil(
      'requests to reach the new service',
      async () => (await stamp()) === 'other.c1',
      2_000,
    );
    for (let i = 0; i < 5; i++) expect(await stamp()).toEqual('other.c1');
    cluster.configure(config => {
      config.routes.find(({name}) => name === 'open')!.service = 'pool';
    });
  });

  it('sends no new request to a draining upstream', async () => {
    const [drainingUpstream, otherUpstream] = cluster.upstreams;
    cluster.register(drainingUpstream, {state: 'draining'});
    await waitUntil('the draining upstream to receive no request', async () => {
      drainingUpstream.received.length = 0;
      for (let i = 0; i < 8; i++) {
        await gateway.call({
          path: ROUTE_PATHS.idempotent,
          headers: createKeyedHeaders(`d${i}`),
        });
      }
      return drainingUpstream.received.length === 0;
    });
    expect(otherUpstream.received.length > 0).toEqual(true);
    cluster.register(drainingUpstream);
    await waitUntil('the upstream to receive requests again', async () => {
      await gateway.call({
        path: ROUTE_PATHS.idempotent,
        headers: createKeyedHeaders('back'),
      });
      return drainingUpstream.received.length > 0;
    });
  });

  it('retries at another upstream when one does not respond', async () => {
    let isFirst = true;
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => {
        const kind = isFirst ? ('silent' as const) : ('answer' as const);
        isFirst = false;
        return {kind};
      };
    }
    const response = await gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders('s1'),
    });
    expect(response.status).toEqual(200);
    expect(receivedRequests().length).toEqual(2);
  });
});
