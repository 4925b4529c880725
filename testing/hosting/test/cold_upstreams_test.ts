import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  startUpstreamStandIn,
  type UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startConnectedGateways,
  waitUntil,
  type GatewayCluster,
  type RawResponse,
  type TestGateway,
} from '../src/index.js';

const COLD_S = 3;
const COLD_PER_S = 4;

/** Most requests that may reach a cold upstream in any one second. */
const MAX_PER_S = 1.5 * COLD_PER_S + 5;

/** Interval at which upstreams write their records again, in milliseconds. */
const HEARTBEAT_MS = 1_200;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Most requests that an upstream received in one second of a period, by performance.now(). */
function mostInOneSecond(
  {received}: UpstreamStandIn,
  fromMs: number,
  untilMs: number,
): number {
  const times = received
    .map(({receivedAtMs}) => receivedAtMs)
    .filter(atMs => atMs >= fromMs && atMs < untilMs);
  return Math.max(
    0,
    ...times.map(
      start => times.filter(t => t >= start && t < start + 1_000).length,
    ),
  );
}

describe('cold upstreams of a service with a cold rate', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];
  let heartbeats: NodeJS.Timeout[];
  let count = 0;
  beforeEach(async () => {
    cluster = await createGatewayCluster(1);
    cluster.configure(({services: [service]}) => {
      Object.assign(service, {cold_s: COLD_S, cold_per_s: COLD_PER_S});
    });
    gateways = await startConnectedGateways(cluster, 4);
    heartbeats = [];
  });
  afterEach(() => {
    heartbeats.forEach(clearInterval);
    return cluster.close();
  });

  /** Writes the record of an upstream that is cold from now on, and writes it again. */
  const registerCold = (upstream: UpstreamStandIn, fields: object = {}) => {
    const coldUntilMs = performance.now() + COLD_S * 1_000;
    const write = () => {
      const leftMs = Math.max(0, coldUntilMs - performance.now());
      cluster.register(upstream, {cold_left_ms: leftMs, ...fields});
    };
    write();
    heartbeats.push(setInterval(write, HEARTBEAT_MS));
    return coldUntilMs;
  };
  /** Sends requests to all gateways in turn, four each time. */
  const sendLoad = async (durationMs: number) => {
    const pending: Array<Promise<RawResponse>> = [];
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      for (const gateway of gateways) {
        const path =
          count % 2 === 0 ? ROUTE_PATHS.idempotent : ROUTE_PATHS.once;
        const headers = createKeyedHeaders(`r${count++}`);
        pending.push(gateway.call({path, headers}));
      }
      await sleep(40);
    }
    return Promise.all(pending);
  };
  const startUnregistered = async (id: string, port?: number) => {
    const upstream = await startUpstreamStandIn(id, port);
    cluster.upstreams.push(upstream);
    return upstream;
  };

  it('get no more than that from all gateways together, and a warm one gets the rest', async () => {
    const cold = await startUnregistered('u2');
    const load = sendLoad(5_000);
    await sleep(1_000);
    const fromMs = performance.now();
    const coldUntilMs = registerCold(cold);
    const responses = await load;
    expect(responses.every(({status}) => status === 200)).toEqual(true);
    const most = mostInOneSecond(cold, fromMs, coldUntilMs);
    expect(most).toBeLessThanOrEqual(MAX_PER_S);
    expect(most >= COLD_PER_S / 2).toEqual(true);
    await cold.close();
  });

  it('refuse callers at once with a retry time when there is no other upstream', async () => {
    const [cold] = cluster.upstreams;
    const coldUntilMs = registerCold(cold);
    await waitUntil('the gateways to know it', () =>
      gateways.every(({logs}) =>
        logs.some(line => line.includes('event=upstream_cold')),
      ),
    );
    const fromMs = performance.now();
    const responses = await sendLoad(1_500);
    const most = mostInOneSecond(cold, fromMs, coldUntilMs);
    expect(most).toBeLessThanOrEqual(MAX_PER_S);
    const refused = responses.filter(({status}) => status === 503);
    expect(refused.length > 0).toEqual(true);
    for (const {headers, body} of refused) {
      expect(body).toInclude('upstreamsLimited');
      expect(Number(headers['retry-after']) > 0).toEqual(true);
    }
  });

  it('count as cold and of another version after they were lost, before their new record is read', async () => {
    const [lost] = cluster.upstreams;
    lost.chooseBehaviour = () => ({kind: 'stream', events: 40, gapMs: 40});
    const [gateway] = gateways;
    const begun = gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders('first'),
    });
    await waitUntil('the stream to begin', () => lost.received.length === 1);
    await sleep(200);
    const port = Number(lost.address.split(':')[1]);
    lost.crash(lost.received[0]);
    // The row in the store is still that of the first process, of version v1.
    const next = await startUnregistered(lost.id, port);
    next.softwareVersion = 'v2';
    next.chooseBehaviour = ({url}) =>
      url.startsWith('/resumable')
        ? {kind: 'stream', events: 40, gapMs: 1}
        : {kind: 'answer'};
    const fromMs = performance.now();
    await begun;
    const resumed = await gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders('second', {
        'Last-Event-Id': '1',
        Resumes: 'first',
      }),
    });
    expect(resumed.status).toEqual(503);
    expect(resumed.body.toString()).not.toInclude('event: v2');
    gateways = [gateway];
    await sendLoad(1_000);
    const most = mostInOneSecond(next, fromMs, performance.now());
    expect(most).toBeLessThanOrEqual(MAX_PER_S);
    expect(most > 0).toEqual(true);
    // With the new record the doubt ends.
    cluster.register(next, {cold_left_ms: 0});
    heartbeats.push(setInterval(() => cluster.register(next), HEARTBEAT_MS));
    await waitUntil('the doubt to end', () =>
      gateway.logs.some(line => line.includes('event=upstream_doubt_ended')),
    );
    await next.close();
  });

  it('stay in use with an invalid cold time, which is logged once and names the record', async () => {
    const [upstream] = cluster.upstreams;
    for (let i = 0; i < 3; i++) {
      cluster.register(upstream, {cold_left_ms: -5});
      await sleep(700);
    }
    const responses = await sendLoad(200);
    expect(responses.every(({status}) => status === 200)).toEqual(true);
    const lines = gateways.flatMap(({logs}) =>
      logs.filter(line => line.includes('event=upstream_value_ignored')),
    );
    // Two gateways read the store, the others follow their list.
    expect(lines.length).toEqual(2);
    expect(lines[0]).toInclude(`upstream=${upstream.id}`);
  });
});
