import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

/** Retry budget of the test cluster: retries per call, and extra retries for the whole fleet. */
const RETRY_RATIO = 0.2;
const RETRY_ALLOWANCE = 50;

/** Number of calls within one budget window; without a budget each would be sent twice. */
const CALLS = 200;

describe('retry budget of the whole fleet', () => {
  let cluster: GatewayCluster;
  const gateways: TestGateway[] = [];
  before(async () => {
    cluster = await createGatewayCluster(3);
    for (let i = 0; i < 2; i++) gateways.push(await cluster.startGateway());
  });
  after(() => cluster.close());

  const countReceived = () =>
    cluster.upstreams.reduce((sum, {received}) => sum + received.length, 0);

  it('limits retries while every upstream fails', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'reset'});
    }
    for (let call = 0; call < CALLS; call += 10) {
      await Promise.all(
        Array.from({length: 10}, (_, index) =>
          gateways[index % 2].call({
            path: ROUTE_PATHS.idempotent,
            headers: createKeyedHeaders(`b${call + index}`),
          }),
        ),
      );
    }
    const retries = countReceived() - CALLS;
    expect(retries > 0).toEqual(true);
    expect(retries <= RETRY_RATIO * CALLS + RETRY_ALLOWANCE).toEqual(true);
  });

  it('limits retries while every upstream refuses', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.received.length = 0;
      upstream.chooseBehaviour = () => ({kind: 'refuse'});
    }
    for (let call = 0; call < CALLS; call++) {
      const headers = createKeyedHeaders(`n${call}`);
      await gateways[call % 2].call({path: ROUTE_PATHS.once, headers});
    }
    const retries = countReceived() - CALLS;
    expect(retries <= RETRY_RATIO * CALLS + RETRY_ALLOWANCE).toEqual(true);
  });
});
