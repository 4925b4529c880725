import {after, before, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Time for which an upstream asks to be left alone, in milliseconds. */
const QUIET_MS = 2_000;

/** Requests that may reach an upstream after it asked for quiet. */
const MAX_STRAGGLERS = 2;

describe('what upstreams state about themselves in responses', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  let peer: TestGateway;
  let count = 0;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
    peer = await cluster.startGateway();
    await waitUntil('the gateways to find each other', () =>
      [gateway, peer].every(({logs}) =>
        logs.some(line => line.includes('peer_found')),
      ),
    );
  });
  after(() => cluster.close());
  beforeEach(() => {
    for (const upstream of cluster.upstreams) {
      upstream.extraHeaders = {};
      upstream.chooseBehaviour = () => ({kind: 'answer'});
    }
  });

  const call = (target: TestGateway, path: string = ROUTE_PATHS.idempotent) =>
    target.call({path, headers: createKeyedHeaders(`q${count++}`)});
  const callMany = async (
    target: TestGateway,
    calls: number,
    path?: string,
  ) => {
    const responses = [];
    for (let i = 0; i < calls; i++) responses.push(await call(target, path));
    return responses;
  };

  /** Returns the upstream that gets the next request of the gateway. */
  const findPreferred = async () => {
    let preferred: GatewayCluster['upstreams'][number] | undefined;
    await waitUntil('a request to reach a registered upstream', async () => {
      const counts = cluster.upstreams.map(({received}) => received.length);
      await call(gateway);
      preferred = cluster.upstreams.find(
        ({received}, i) => received.length > counts[i],
      );
      return preferred !== undefined;
    });
    return preferred!;
  };

  describe('leaving', () => {
    it('takes an upstream out at this gateway and its peers, whatever the store contains', async () => {
      const leaving = await cluster.addUpstream('leaving', 'pool');
      leaving.extraHeaders = {'server-leaving': '1'};
      await waitUntil('a response of the leaving upstream', async () => {
        await call(gateway);
        return leaving.received.length > 0;
      });
      const sent = leaving.received.length;
      // The upstream writes its registration again, still as ready.
      cluster.register(leaving);
      cluster.store.discardHistory();
      gateway.handle.reload({
        keyWithdrawalLimitMs: 3_000,
        retryRatio: 0.2,
        retryWindowMs: 10_000,
        retryAllowance: 50,
      });
      await new Promise(resolve => setTimeout(resolve, 500));
      for (const target of [gateway, peer]) await callMany(target, 15);
      expect(leaving.received.length).toEqual(sent);
      // Removed and written again, it is still the same upstream.
      cluster.store.remove('servers', leaving.id);
      await new Promise(resolve => setTimeout(resolve, 800));
      cluster.register(leaving);
      await new Promise(resolve => setTimeout(resolve, 800));
      for (const target of [gateway, peer]) await callMany(target, 15);
      expect(leaving.received.length).toEqual(sent);
    });

    it('ends with a later start under the same id', async () => {
      const leaving = cluster.upstreams.at(-1)!;
      const sent = leaving.received.length;
      cluster.register(leaving, {born: 1_700_000_000_000});
      await waitUntil('the new upstream to get requests', async () => {
        await call(gateway);
        return leaving.received.length > sent;
      });
      cluster.store.remove('servers', leaving.id);
      cluster.upstreams.pop();
    });
  });

  describe('retry-after', () => {
    const refuse = (upstream: GatewayCluster['upstreams'][number]) => {
      upstream.chooseBehaviour = () => ({kind: 'refuse'});
      upstream.extraHeaders = {'retry-after': String(QUIET_MS / 1000)};
    };

    it('keeps requests of this gateway from an upstream until it ends', async () => {
      const quiet = await findPreferred();
      refuse(quiet);
      const before = quiet.received.length;
      await waitUntil('the upstream to ask for quiet', async () => {
        await call(gateway);
        return quiet.received.length > before;
      });
      const askedAtMs = performance.now();
      const sent = quiet.received.length;
      cluster.store.remove('servers', quiet.id);
      await new Promise(resolve => setTimeout(resolve, 700));
      cluster.register(quiet);
      while (performance.now() - askedAtMs < QUIET_MS - 100) {
        const {status} = await call(gateway);
        expect(status).toEqual(200);
      }
      expect(quiet.received.length - sent <= MAX_STRAGGLERS).toEqual(true);
      quiet.chooseBehaviour = () => ({kind: 'answer'});
      const others = cluster.upstreams.filter(upstream => upstream !== quiet);
      others.forEach(({id}) => cluster.store.remove('servers', id));
      await waitUntil('requests after the end of the time', async () => {
        await call(gateway);
        return quiet.received.length > sent + MAX_STRAGGLERS;
      });
      others.forEach(upstream => cluster.register(upstream));
    });

    it('refuses callers at once with the time of their return when no upstream takes requests', async () => {
      cluster.upstreams.forEach(refuse);
      await waitUntil('all upstreams to ask for quiet', async () => {
        const {body} = await call(gateway, ROUTE_PATHS.once);
        return body.includes('upstreamsQuiet');
      });
      const sent = cluster.upstreams.map(({received}) => received.length);
      const responses = await callMany(gateway, 10, ROUTE_PATHS.once);
      for (const {status, headers} of responses) {
        expect(status).toEqual(503);
        const retryAfterMs = Number(headers['retry-after']) * 1000;
        expect(retryAfterMs > 0 && retryAfterMs <= QUIET_MS + 900).toEqual(
          true,
        );
      }
      expect(cluster.upstreams.map(({received}) => received.length)).toEqual(
        sent,
      );
    });
  });
});
