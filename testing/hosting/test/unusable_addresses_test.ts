import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Addresses to which no connection can be opened, as another writer may leave them. */
const UNUSABLE_ADDRESSES = [
  ...['127.0.0.1:99999', '127.0.0.1:0', '999.0.0.1:80', 'a/b:80', 'x@y:80'],
  ...['%:80', '[::1:80', '#:1'],
];

const REQUESTS = 40;

describe('gateways whose store has upstreams with unusable addresses', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;

  before(async () => {
    cluster = await createGatewayCluster(1);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  it('send requests to the other upstreams', async () => {
    const [sound] = cluster.upstreams;
    UNUSABLE_ADDRESSES.forEach((address, i) =>
      cluster.store.putJson('servers', `bad-${i}`, {
        service: 'pool',
        address,
        zone: 'a',
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_left_ms: 0,
        seq: 1,
      }),
    );
    cluster.register(sound, {zone: 'b'});
    await waitUntil('the rows to be read', async () =>
      (await gateway.scrape()).includes('zone="b"'),
    );
    const statuses: number[] = [];
    for (let i = 0; i < REQUESTS; i++) {
      const headers = createKeyedHeaders(`r-${i}`);
      const path = ROUTE_PATHS.once;
      statuses.push((await gateway.call({path, headers})).status);
    }
    expect(statuses.filter(status => status !== 200)).toEqual([]);
    expect(
      gateway.logs.filter(line => line.includes('event=input_failed')),
    ).toEqual([]);
  });
});
