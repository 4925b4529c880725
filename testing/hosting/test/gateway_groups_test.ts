import {after, before, describe, it} from 'node:test';
import {assignGroup} from '@sardinestile/fleet';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Registered gateways, of which two run; more than one group has. */
const REGISTERED = 43;

/** Time that an upstream takes for a request, in milliseconds. */
const CALL_MS = 3_000;

/** As many as the connections that one of so many gateways may open. */
const REQUESTS = 4;

/** Port that nothing listens on, of the gateways that do not run. */
const CLOSED_PORT = 9;

/** Returns names of gateways that do not run, with which the two that do are in different groups. */
function chooseNames(): string[] {
  for (let salt = 0; ; salt++) {
    const names = Array.from(
      {length: REGISTERED - 2},
      (_, i) => `other-${salt}-${i}`,
    );
    const all = ['front-1', 'front-2', ...names];
    const [first, second] = all.map(name => assignGroup(name, all).index);
    if (first !== second) return names;
  }
}

describe('gateways of two groups before two upstreams', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];
  before(async () => {
    cluster = await createGatewayCluster(2);
    for (const name of chooseNames()) {
      const address = {host: '127.0.0.1', port: CLOSED_PORT};
      const value = JSON.stringify({...address, renewedAtMs: Date.now()});
      const row = {table: 'system', part: 'p', key: `gateway/${name}`};
      const bytes = Buffer.from(value);
      cluster.store.transact({
        puts: [{...row, value: bytes.toString('base64')}],
      });
    }
    gateways = [await cluster.startGateway(), await cluster.startGateway()];
  });
  after(() => cluster.close());

  const gaugeOf = async (gateway: TestGateway, name: string) => {
    const text = await gateway.scrape();
    const pattern = new RegExp(`^${name}{service="pool"} (\\d+)$`, 'm');
    return Number(pattern.exec(text)?.[1]);
  };

  it('share the upstreams once they know the others', async () => {
    for (const gateway of gateways) {
      await waitUntil('the gateway to know its group', async () => {
        const shared = 'sardinestile_upstreams_shared_by_groups';
        return (await gaugeOf(gateway, shared)) === 1;
      });
      const own = await gaugeOf(gateway, 'sardinestile_upstreams_of_group');
      expect(own).toEqual(2);
    }
  });

  it('know the load that the other group puts on them, and when it ends', async () => {
    const [first, second] = gateways;
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'answer', delayMs: CALL_MS});
    }
    const responses = Array.from({length: REQUESTS}, (_, i) =>
      first.call({
        path: ROUTE_PATHS.once,
        headers: createKeyedHeaders(`g${i}`),
      }),
    );
    const running = () => gaugeOf(second, 'sardinestile_requests_running');
    await waitUntil(
      'the other gateway to know the load',
      async () => (await running()) === REQUESTS,
      CALL_MS,
    );
    await Promise.all(responses);
    await waitUntil(
      'the other gateway to know the end',
      async () => (await running()) === 0,
    );
    // They are no peers of each other.
    const text = await second.scrape();
    expect(text.includes('sardinestile_peers 0')).toEqual(true);
  });
});
