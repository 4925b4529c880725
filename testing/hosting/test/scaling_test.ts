import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

/** Concurrent requests; more than half of the slots of both upstreams. */
const CONCURRENT_REQUESTS = 14;

/** Time within which the lease holder makes two scaling decisions, in milliseconds. */
const TWO_DECISIONS_MS = 5_000;

const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('scaling of a service', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];
  before(async () => {
    cluster = await createGatewayCluster(2);
    cluster.configure(config => {
      config.services[0].autoscale = {
        min_replicas: 1,
        max_replicas: 4,
        boot_s: 1,
      };
    });
    gateways = [await cluster.startGateway(), await cluster.startGateway()];
  });
  after(() => cluster.close());

  const scalingOrders = () =>
    cluster.duties.accepted.filter(({path}) => path === '/scale');
  const holdsLease = ({logs}: TestGateway) =>
    logs.findLast(line => line.includes('lease_'))?.includes('lease_acquired');
  const sendLoad = async (gateway: TestGateway, name: string) => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'answer', delayMs: 3_500});
    }
    await Promise.all(
      Array.from({length: CONCURRENT_REQUESTS}, (_, index) =>
        gateway.call({
          path: ROUTE_PATHS.once,
          headers: createKeyedHeaders(`${name}-${index}`),
        }),
      ),
    );
  };

  it('orders nothing while capacity suffices', async () => {
    await waitUntil('a gateway to hold the lease', () =>
      gateways.some(holdsLease),
    );
    await delay(TWO_DECISIONS_MS);
    expect(scalingOrders()).toEqual([]);
  });

  it('orders more upstreams on demand, also when the load arrives at another gateway', async () => {
    const other = gateways.find(gateway => !holdsLease(gateway))!;
    await sendLoad(other, 'more');
    const [order] = scalingOrders();
    expect(order.body.service).toEqual('pool');
    expect(order.body.zone).toEqual('a');
    expect(Number(order.body.desired) > 2).toEqual(true);
  });

  it('sends orders from one lease holder at a time, each with its own fencing token', async () => {
    const holder = gateways.find(holdsLease)!;
    const other = gateways.find(gateway => gateway !== holder)!;
    holder.store.mode = 'silent';
    await waitUntil('the other gateway to hold the lease', () =>
      holdsLease(other)!,
    );
    await sendLoad(other, 'next');
    const holders = new Map<number, string>();
    for (const {fencingToken, holder: name} of scalingOrders()) {
      expect(holders.get(fencingToken) ?? name).toEqual(name);
      holders.set(fencingToken, name);
    }
    const tokens = scalingOrders().map(({fencingToken}) => fencingToken);
    expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
    expect(cluster.duties.rejected).toEqual([]);
    holder.store.mode = 'up';
  });
});
