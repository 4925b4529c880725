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

/** Number of gateways; two of them read the store, the others follow the list of a peer. */
const GATEWAYS = 6;

/** Time within which every gateway must stop using a draining upstream, in milliseconds. */
const DRAIN_LIMIT_MS = 2_000;

/** Returns the name of the gateway whose upstream list is followed; undefined if the store is read. */
function sourceOf({logs}: TestGateway): string | undefined {
  const line = logs.findLast(text => text.includes('upstreams_source_changed'));
  return line && /peer=(\S+)/.exec(line)?.[1];
}

describe('upstream lists shared between gateways', () => {
  let cluster: GatewayCluster;
  const peers: TestGateway[] = [];
  let isFirstDraining = false;
  let heartbeatTimer: NodeJS.Timeout;
  before(async () => {
    cluster = await createGatewayCluster(2);
    heartbeatTimer = setInterval(() => {
      const [first] = cluster.upstreams;
      cluster.register(first, {
        state: isFirstDraining ? 'draining' : 'ready',
      });
    }, 300);
    for (let i = 0; i < GATEWAYS; i++) peers.push(await cluster.startGateway());
    await waitUntil(
      'four gateways to follow the list of another one',
      () => peers.filter(gateway => sourceOf(gateway)).length === GATEWAYS - 2,
    );
  });
  after(() => {
    clearInterval(heartbeatTimer);
    return cluster.close();
  });

  it('bring added and draining upstreams to every gateway within the limit', async () => {
    const added = await cluster.addUpstream('u3');
    const callAll = async (name: string) => {
      for (const [index, gateway] of peers.entries()) {
        const headers = createKeyedHeaders(`${name}-${index}`);
        await gateway.call({path: ROUTE_PATHS.idempotent, headers});
      }
    };
    const [, second] = cluster.upstreams;
    cluster.register(second, {state: 'draining'});
    isFirstDraining = true;
    let round = 0;
    await waitUntil('every gateway to use only the new upstream', async () => {
      const before = added.received.length;
      await callAll(`n${round++}`);
      return added.received.length === before + GATEWAYS;
    });
    isFirstDraining = false;
    cluster.register(added, {state: 'draining'});
    await new Promise(resolve => setTimeout(resolve, DRAIN_LIMIT_MS));
    const servedBefore = added.received.length;
    for (let again = 0; again < 5; again++) await callAll(`l${again}`);
    expect(added.received.length).toEqual(servedBefore);
  });

  it('are read from another source when the store rejects the followed gateway', async () => {
    const follower = peers.find(sourceOf)!;
    const name = sourceOf(follower);
    const reader = peers.find(({instance}) => instance === name)!;
    reader.store.mode = 'busy';
    await waitUntil(
      'the follower to change its source',
      () => sourceOf(follower) !== name,
    );
    const added = await cluster.addUpstream('u4');
    let call = 0;
    await waitUntil('the follower to use the new upstream', async () => {
      const headers = createKeyedHeaders(`f${call++}`);
      await follower.call({path: ROUTE_PATHS.idempotent, headers});
      return added.received.length > 0;
    });
    reader.store.mode = 'up';
  });
});
