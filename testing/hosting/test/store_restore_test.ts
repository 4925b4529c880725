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

const GATEWAYS = 3;

/** Time between two writes of an upstream's registration, in milliseconds. */
const HEARTBEAT_MS = 300;

/** Time after a restore at which operators and upstreams write again, in milliseconds. */
const REWRITE_AFTER_MS = 1_000;

/** Calls of a gateway of which some would reach an upstream that it still uses. */
const CALLS_TO_BE_SURE = 20;

describe('a store that is restored from a copy', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[] = [];
  let heartbeatTimer: NodeJS.Timeout;
  const silentUpstreams = new Set<string>();
  let sent = 0;
  before(async () => {
    cluster = await createGatewayCluster(3, {keyWithdrawalLimitMs: 5_000});
    heartbeatTimer = setInterval(() => {
      for (const upstream of cluster.upstreams) {
        if (!silentUpstreams.has(upstream.id)) cluster.register(upstream);
      }
    }, HEARTBEAT_MS);
    for (let i = 0; i < GATEWAYS; i++) {
      gateways.push(await cluster.startGateway());
    }
  });
  after(() => {
    clearInterval(heartbeatTimer);
    return cluster.close();
  });

  const sleep = (ms: number) =>
    new Promise<void>(resolve => setTimeout(resolve, ms));
  const call = async (gateway: TestGateway, key = INITIAL_API_KEY) => {
    const {status} = await gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders(`sr${sent}`, {
        Authorization: `Bearer ${key}`,
      }),
    });
    if (status === 200) sent++;
    return status;
  };
  /** Returns the reported requests; fails if a window was reported with different counts. */
  const sumReported = () => {
    const counts = new Map<unknown, string>();
    let sum = 0;
    for (const {body} of cluster.duties.accepted) {
      const reported = body.counts as Record<string, number>;
      const text = JSON.stringify(reported);
      const known = counts.get(body.window_seq);
      expect(known ?? text).toEqual(text);
      if (known === undefined) sum += reported['org-one'] ?? 0;
      counts.set(body.window_seq, text);
    }
    return sum;
  };
  const waitForRestore = (generation: number) =>
    waitUntil('every gateway to notice the restore', async () => {
      await Promise.all(gateways.map(gateway => call(gateway)));
      return gateways.some(({logs}) =>
        logs.some(line =>
          line.includes(`store_restored generation=${generation}`),
        ),
      );
    });

  it('keeps a withdrawn key withdrawn and the configuration in force', async () => {
    await waitUntil(
      'a first report',
      async () => {
        await call(gateways[0]);
        return cluster.duties.accepted.length > 0;
      },
      20_000,
    );
    const copy = cluster.store.copy();
    await sleep(500);
    cluster.configure(config => {
      config.tenants[0].api_keys = ['key-two'];
    });
    await waitUntil('every gateway to reject the key', async () => {
      const statuses = await Promise.all(gateways.map(g => call(g)));
      return statuses.every(status => status === 401);
    });
    cluster.store.restore(copy);
    const endMs = performance.now() + REWRITE_AFTER_MS;
    while (performance.now() < endMs) {
      for (const gateway of gateways) {
        expect([401, 503]).toInclude(await call(gateway));
      }
      await sleep(50);
    }
    cluster.configure();
    for (const gateway of gateways) {
      expect(await call(gateway)).not.toEqual(200);
      expect(await call(gateway, 'key-two')).toEqual(200);
    }
    cluster.configure(config => {
      config.tenants[0].api_keys = [INITIAL_API_KEY];
    });
    await waitUntil('the key to work again', async () => {
      const statuses = await Promise.all(gateways.map(g => call(g)));
      return statuses.every(status => status === 200);
    });
  });

  it('does not bring back an upstream that left or was removed', async () => {
    const [left, removed] = cluster.upstreams;
    const copy = cluster.store.copy();
    silentUpstreams.add(left.id).add(removed.id);
    cluster.register(left, {state: 'draining'});
    cluster.store.remove('servers', removed.id);
    const receivedByBoth = () => left.received.length + removed.received.length;
    await waitUntil('both upstreams to be out of use', async () => {
      const countBefore = receivedByBoth();
      for (let round = 0; round < CALLS_TO_BE_SURE; round++) {
        for (const gateway of gateways) await call(gateway);
      }
      return receivedByBoth() === countBefore;
    });
    const countBefore = receivedByBoth();
    cluster.store.restore(copy);
    const endMs = performance.now() + REWRITE_AFTER_MS;
    while (performance.now() < endMs) {
      for (const gateway of gateways) await call(gateway);
      await sleep(50);
    }
    cluster.register(left, {state: 'draining'});
    cluster.store.remove('servers', removed.id);
    await sleep(3_000);
    for (const gateway of gateways) await call(gateway);
    expect(receivedByBoth()).toEqual(countBefore);
  });

  it('reports no window with two figures and issues no fencing token twice', async () => {
    for (let round = 0; round < 3; round++) {
      const copy = cluster.store.copy();
      const endMs = performance.now() + 2_500;
      while (performance.now() < endMs) {
        for (const gateway of gateways) await call(gateway);
        await sleep(20);
      }
      const generation = cluster.store.era + 1;
      cluster.store.restore(copy);
      await waitForRestore(generation);
      if (round === 1) {
        // A gateway that starts now knows nothing of what was lost.
        await gateways[0].handle.close();
        gateways = [...gateways.slice(1), await cluster.startGateway()];
      }
    }
    const reports = cluster.duties.accepted.length;
    await waitUntil(
      'two more reports',
      async () => {
        for (const gateway of gateways) await call(gateway);
        return cluster.duties.accepted.length >= reports + 2;
      },
      30_000,
    );
    expect(sumReported() <= sent).toEqual(true);
    const holders = new Map<number, string>();
    let lastToken = 0;
    for (const {fencingToken, holder} of cluster.duties.accepted) {
      expect(holders.get(fencingToken) ?? holder).toEqual(holder);
      holders.set(fencingToken, holder);
      expect(fencingToken >= lastToken).toEqual(true);
      lastToken = fencingToken;
    }
  });

  it('loses the fleet of no gateway', async () => {
    await sleep(2_000);
    for (const gateway of gateways) {
      const text = await gateway.scrape();
      const [, peers] = /sardinestile_peers (\d+)/.exec(text)!;
      expect(Number(peers)).toEqual(GATEWAYS - 1);
    }
  });
});
