import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
} from '../src/index.js';

/** Number of configuration versions written in quick succession. */
const RAPID_CHANGES = 40;

describe('a restart of the whole fleet', () => {
  let cluster: GatewayCluster;
  before(async () => {
    cluster = await createGatewayCluster(2);
  });
  after(() => cluster.close());

  it('keeps a change that was acknowledged right before every gateway stopped', async () => {
    const first = await cluster.startGateway();
    const second = await cluster.startGateway();
    cluster.configure(config => {
      config.tenants[0].api_keys = ['key-last'];
    });
    await Promise.all([first.handle.close(), second.handle.close()]);
    const next = await cluster.startGateway();
    const responseForRevokedKey = await next.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders('e1'),
    });
    expect(responseForRevokedKey.status).toEqual(401);
    const allowed = await next.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders('e2', {Authorization: 'Bearer key-last'}),
    });
    expect(allowed.status).toEqual(200);
  });

  it('applies the last of many rapid versions, and no older version after a newer one', async () => {
    const gateway = await cluster.startGateway();
    let version = 0;
    for (let change = 0; change < RAPID_CHANGES; change++) {
      version = cluster.configure();
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    const applied = () =>
      gateway.logs
        .map(line => /config_applied version=(\d+)/.exec(line)?.[1])
        .filter(text => text !== undefined)
        .map(Number);
    await waitUntil(
      'the last version to be applied',
      () => applied().at(-1) === version,
    );
    expect(applied()).toEqual([...applied()].sort((a, b) => a - b));
    // An older version, as a store that was restored from a backup holds it.
    const early = cluster.configure(config => (config.version = 1));
    await new Promise(resolve => setTimeout(resolve, 500));
    const newest = cluster.configure(config => (config.version = version));
    await waitUntil(
      'the newest version to be applied',
      () => applied().at(-1) === newest,
    );
    expect(applied()).not.toInclude(early);
  });
});

describe('an address that is reassigned to another upstream', () => {
  let cluster: GatewayCluster;
  before(async () => {
    cluster = await createGatewayCluster(0);
  });
  after(() => cluster.close());

  it('runs no request that names the old upstream, and later serves as the new upstream', async () => {
    const upstream = await cluster.addUpstream('old');
    const gateway = await cluster.startGateway();
    // The address now belongs to upstream `new`, which rejects requests that name another instance.
    upstream.chooseBehaviour = ({headers}) =>
      headers['expect-instance'] === 'new'
        ? {kind: 'answer'}
        : {kind: 'misdirect'};
    const call = (id: string) =>
      gateway.call({path: ROUTE_PATHS.once, headers: createKeyedHeaders(id)});
    expect((await call('a1')).status).toEqual(503);
    expect(upstream.received.some(({wasProcessed}) => wasProcessed)).toEqual(
      false,
    );
    cluster.store.putJson('servers', 'new', {
      service: 'pool',
      address: upstream.address,
      zone: 'a',
      slots: 8,
      state: 'ready',
      born: Date.now(),
    });
    await waitUntil('the new upstream to be used', async () => {
      return (await call(`a${Math.random()}`)).status === 200;
    });
  });
});

describe('registrations of gateways', () => {
  let cluster: GatewayCluster;
  before(async () => {
    cluster = await createGatewayCluster(1);
  });
  after(() => cluster.close());

  it('are removed when they have not been renewed for an hour', async () => {
    const hourMs = 3_600_000;
    const put = (name: string, renewedAtMs: number) => {
      const value = {host: '127.0.0.1', port: 1, renewedAtMs};
      const row = {table: 'system', part: 'p', key: `gateway/${name}`};
      const bytes = Buffer.from(JSON.stringify(value));
      store.transact({puts: [{...row, value: bytes.toString('base64')}]});
    };
    const {store} = cluster;
    put('gone', Date.now() - hourMs - 1_000);
    put('late', Date.now() - hourMs / 2);
    const gateway = await cluster.startGateway();
    const names = () =>
      store
        .rows('system', 'p')
        .map(({key}) => key)
        .filter(key => key.startsWith('gateway/'));
    await waitUntil(
      'the expired registration to be removed',
      () => !names().includes('gateway/gone'),
    );
    await waitUntil('the registration of the gateway itself', () =>
      names().includes(`gateway/${gateway.instance}`),
    );
    expect(names()).toInclude('gateway/late');
  });
});
