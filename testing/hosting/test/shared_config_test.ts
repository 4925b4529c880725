import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  INITIAL_API_KEY,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Number of gateways; two of them read the store, the others follow a peer. */
const GATEWAYS = 5;

/** Time within which a revoked key must be rejected by every gateway, in milliseconds. */
const REVOCATION_LIMIT_MS = 3_000;

/** Returns the name of the gateway whose configuration is followed; undefined if the store is read. */
function sourceOf({logs}: TestGateway): string | undefined {
  const line = logs.findLast(text => text.includes('config_source_changed'));
  return line && /peer=(\S+)/.exec(line)?.[1];
}

describe('configuration shared between gateways', () => {
  let cluster: GatewayCluster;
  const gateways: TestGateway[] = [];
  before(async () => {
    cluster = await createGatewayCluster(1, {
      keyWithdrawalLimitMs: REVOCATION_LIMIT_MS,
    });
    for (let i = 0; i < GATEWAYS; i++) {
      gateways.push(await cluster.startGateway());
    }
    await waitUntil(
      'three gateways to follow another one',
      () => followers().length === GATEWAYS - 2,
    );
  });
  after(() => cluster.close());

  const followers = () => gateways.filter(sourceOf);
  const readers = () => gateways.filter(gateway => !sourceOf(gateway));
  const statusOf = async (gateway: TestGateway, requestId: string) =>
    (
      await gateway.call({
        path: ROUTE_PATHS.idempotent,
        headers: createKeyedHeaders(requestId),
      })
    ).status;
  const replaceKeys = (keys: string[]) =>
    cluster.configure(config => {
      config.tenants[0].api_keys = keys;
    });
  /** Revokes the key and returns how long some gateway went on accepting it. */
  const measureRevocationMs = async (name: string) => {
    replaceKeys(['another-key']);
    const startMs = performance.now();
    await Promise.all(
      gateways.map((gateway, i) =>
        waitUntil(
          `${gateway.instance} to reject the revoked key`,
          async () => (await statusOf(gateway, `${name}${i}`)) !== 200,
        ),
      ),
    );
    const tookMs = performance.now() - startMs;
    replaceKeys([INITIAL_API_KEY]);
    await Promise.all(
      gateways.map(gateway =>
        waitUntil(
          `${gateway.instance} to accept the key again`,
          async () => (await statusOf(gateway, `${name}-again`)) === 200,
        ),
      ),
    );
    return tookMs;
  };

  it('is not read from the store by the gateways that follow a peer', async () => {
    const callsBefore = followers().map(({store}) => store.calls('rows-feed'));
    await new Promise(resolve => setTimeout(resolve, REVOCATION_LIMIT_MS));
    const callsAfter = followers().map(({store}) => store.calls('rows-feed'));
    expect(callsAfter).toEqual(callsBefore);
    for (const gateway of followers()) {
      expect(await gateway.isReady()).toEqual(true);
    }
  });

  it('reaches every gateway well within the revocation limit', async () => {
    expect((await measureRevocationMs('r')) < REVOCATION_LIMIT_MS / 2).toEqual(
      true,
    );
  });

  for (const mode of ['busy', 'silent'] as const) {
    it(`binds every gateway within the limit while the store is ${mode} for all readers`, async () => {
      const affected = readers();
      affected.forEach(({store}) => (store.mode = mode));
      try {
        const tookMs = await measureRevocationMs(mode);
        expect(tookMs < REVOCATION_LIMIT_MS).toEqual(true);
      } finally {
        affected.forEach(({store}) => (store.mode = 'up'));
      }
      await waitUntil(
        'the gateways to follow a reader again',
        () => followers().length === GATEWAYS - 2,
      );
    });
  }

  it('is read from the store again when the followed gateway is gone', async () => {
    const [follower] = followers();
    const name = sourceOf(follower);
    const index = gateways.findIndex(({instance}) => instance === name);
    const [reader] = gateways.splice(index, 1);
    await reader.handle.close();
    const tookMs = await measureRevocationMs('g');
    expect(tookMs < REVOCATION_LIMIT_MS).toEqual(true);
  });

  it('lets no follower serve keyed routes once nothing confirms the keys', async () => {
    gateways.forEach(({store}) => (store.mode = 'silent'));
    const startMs = performance.now();
    await Promise.all(
      gateways.map(gateway =>
        waitUntil(
          `${gateway.instance} to refuse keyed routes`,
          async () => (await statusOf(gateway, 'n')) === 503,
        ),
      ),
    );
    expect(performance.now() - startMs < REVOCATION_LIMIT_MS).toEqual(true);
    gateways.forEach(({store}) => (store.mode = 'up'));
  });
});
