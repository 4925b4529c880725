import {after, afterEach, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  INITIAL_API_KEY,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

/** Time within which a gateway must reject a revoked key, in milliseconds. */
const REVOCATION_LIMIT_MS = 6_000;

const statusOf = async (
  gateway: TestGateway,
  path: string,
  headers: Record<string, string>,
) => (await gateway.call({path, headers})).status;

describe('a store that rejects gateways', () => {
  let cluster: GatewayCluster;
  let first: TestGateway;
  let second: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2, {
      keyWithdrawalLimitMs: REVOCATION_LIMIT_MS,
    });
    first = await cluster.startGateway();
    second = await cluster.startGateway();
  });
  afterEach(() => {
    first.store.mode = 'up';
    second.store.mode = 'up';
  });
  after(() => cluster.close());

  const isServed = async (gateway: TestGateway, id: string) =>
    (await statusOf(
      gateway,
      ROUTE_PATHS.idempotent,
      createKeyedHeaders(id),
    )) === 200;

  /** Expects a 200 response; a failure shows the last log lines of both gateways. */
  const expectServed = async (gateway: TestGateway, id: string) => {
    const status = await statusOf(
      gateway,
      ROUTE_PATHS.idempotent,
      createKeyedHeaders(id),
    );
    const lines = [...first.logs.slice(-25), ...second.logs.slice(-5)];
    expect(status === 200 ? '' : lines.join('')).toEqual('');
  };

  for (const mode of ['busy', 'reset', 'silent'] as const) {
    it(`${mode}: one gateway goes on with a peer's proof`, async () => {
      first.store.mode = mode;
      const endMs = performance.now() + 2 * REVOCATION_LIMIT_MS;
      while (performance.now() < endMs) {
        await expectServed(first, `p-${mode}`);
        await new Promise(resolve => setTimeout(resolve, 100));
      }
      expect(await first.isReady()).toEqual(true);
    });
  }

  it('a gateway that the store rejects still learns of a revoked key', async () => {
    first.store.mode = 'busy';
    await new Promise(resolve => setTimeout(resolve, 500));
    cluster.configure(config => {
      config.tenants[0].api_keys = ['key-two'];
    });
    const headers = createKeyedHeaders('w1');
    const isRevoked = async () =>
      (await statusOf(first, ROUTE_PATHS.idempotent, headers)) === 401;
    await waitUntil('the key to be rejected', isRevoked, REVOCATION_LIMIT_MS);
    cluster.configure(config => {
      config.tenants[0].api_keys = [INITIAL_API_KEY];
    });
    await waitUntil('the key to work again', () => isServed(first, 'w2'));
  });

  it('when no gateway can read the store, keyed routes return 503 and open routes still serve', async () => {
    first.store.mode = 'busy';
    second.store.mode = 'busy';
    const outageStartMs = performance.now();
    const isRefused = async () =>
      (await statusOf(
        first,
        ROUTE_PATHS.idempotent,
        createKeyedHeaders('n1'),
      )) === 503;
    await waitUntil(
      'keyed routes to return 503',
      isRefused,
      REVOCATION_LIMIT_MS,
    );
    expect(performance.now() - outageStartMs < REVOCATION_LIMIT_MS).toEqual(
      true,
    );
    const open = {'Request-Id': 'n2', 'Deadline-Ms': '2000'};
    expect(await statusOf(first, ROUTE_PATHS.open, open)).toEqual(200);
    expect(await first.isReady()).toEqual(false);
    first.store.mode = 'up';
    second.store.mode = 'up';
    await waitUntil('keyed routes to serve again', () => isServed(first, 'n3'));
  });

  it('when the store lost its change history, the configuration is read in full again', async () => {
    cluster.store.discardHistory();
    const version = cluster.configure();
    await waitUntil('the new version to be applied', () =>
      first.logs.some(line =>
        line.includes(`config_applied version=${version}`),
      ),
    );
  });

  it('invalid rows are rejected and the last valid configuration stays in force', async () => {
    cluster.store.putBytes('servers', 'bad-1', Buffer.from([0xff, 0x00, 0x7b]));
    cluster.store.putJson('servers', 'bad-2', {
      service: 3,
      address: 'nowhere',
    });
    cluster.store.putJson('op', 'config', {version: 10_000, routes: 'none'});
    const count = (event: string) =>
      first.logs.filter(line => line.includes(event)).length;
    await waitUntil(
      'the invalid rows to be rejected',
      () => count('config_rejected') === 1 && count('upstream_rejected') === 2,
    );
    expect(await isServed(first, 'r1')).toEqual(true);
    cluster.configure();
  });
});
