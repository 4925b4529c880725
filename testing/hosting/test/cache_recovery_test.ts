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

const UPSTREAMS = 6;
const PREFIX = 'a1b2c3d4';
const PREFIX_TOKENS = 8_000;

describe('prompt caches of the engines after a restart', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[] = [];
  let count = 0;
  before(async () => {
    cluster = await createGatewayCluster(UPSTREAMS);
    cluster.configure(config => {
      config.services[0].engine = {
        slots: 64,
        kv_capacity: 400_000,
        kv_token_bytes: 20_000,
        link_mbps: 0,
      };
      for (const route of config.routes) route.sticky = true;
    });
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'stream', events: 2});
    }
  });
  after(() => cluster.close());

  const startGateways = async () => {
    const [first, ...others] = await Promise.all([
      cluster.startGateway(),
      cluster.startGateway(),
    ]);
    gateways = [first, ...others];
    await waitUntil('the gateways to know the caches', () =>
      gateways.every(({logs}) =>
        logs.some(line => line.includes('caches_recovered')),
      ),
    );
    // Lets what each one has read reach the other.
    await new Promise(resolve => setTimeout(resolve, 200));
  };
  /** Sends a request with the shared part; returns the id of the upstream that received it. */
  const callWithPrefix = async (gateway: TestGateway) => {
    const requestId = `c${count++}`;
    await gateway.call({
      path: ROUTE_PATHS.stream,
      headers: createKeyedHeaders(requestId, {
        Model: 'm',
        'Token-Counts': `${PREFIX_TOKENS + 100},10`,
        'Prompt-Prefix': `${PREFIX}:${PREFIX_TOKENS},${requestId}:100`,
      }),
    });
    return cluster.upstreams.find(({received}) =>
      received.some(request => request.requestId === requestId),
    )!.id;
  };
  const listCalls = () =>
    cluster.upstreams.reduce(
      (sum, {cacheListCalls}) => sum + cacheListCalls,
      0,
    );

  it('are read once from each engine when all gateways restart', async () => {
    // Not the engine that the hash of the part would choose.
    await startGateways();
    const hashed = await callWithPrefix(gateways[0]);
    await Promise.all(gateways.map(({handle}) => handle.close()));
    const holder = cluster.upstreams.find(({id}) => id !== hashed)!;
    holder.cachedParts = [['', PREFIX, PREFIX_TOKENS, 'm']];
    const callsBefore = listCalls();
    await startGateways();
    expect(listCalls() - callsBefore).toEqual(UPSTREAMS);
    for (const gateway of gateways) {
      expect(await callWithPrefix(gateway)).toEqual(holder.id);
    }
  });

  it('come from a peer when one gateway restarts', async () => {
    const holderId = await callWithPrefix(gateways[1]);
    await waitUntil('the peer to have run for a while', async () => {
      await new Promise(resolve => setTimeout(resolve, 3_000));
      return true;
    });
    await gateways[0].handle.close();
    const callsBefore = listCalls();
    const started = await cluster.startGateway();
    await waitUntil('the gateway to know the caches', () =>
      started.logs.some(line => /caches_recovered source=peer/.test(line)),
    );
    expect(listCalls()).toEqual(callsBefore);
    expect(await callWithPrefix(started)).toEqual(holderId);
  });
});
