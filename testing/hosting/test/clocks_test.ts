import {afterEach, before, after, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createSteppedClock,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

/** Time within which a gateway must reject a revoked key, in milliseconds. */
const REVOCATION_LIMIT_MS = 3_000;

/** Length of a usage window, in milliseconds. */
const USAGE_WINDOW_MS = 2_000;

/** Size of a clock step, in usage windows; far more than the delay of a count on a busy machine. */
const STEP_WINDOWS = 40;

const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('clock steps and pauses of the process', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  const clock = createSteppedClock();
  let calls = 0;
  before(async () => {
    cluster = await createGatewayCluster(1, {
      keyWithdrawalLimitMs: REVOCATION_LIMIT_MS,
      usageWindowMs: USAGE_WINDOW_MS,
    });
    gateway = await cluster.startGateway(clock);
  });
  afterEach(async () => {
    gateway.store.mode = 'up';
    await waitUntil('keyed calls to be served', async () => {
      return (await statusOf()) === 200;
    });
  });
  after(() => cluster.close());

  const statusOf = async () => {
    const headers = createKeyedHeaders(`k${calls++}`);
    return (await gateway.call({path: ROUTE_PATHS.idempotent, headers})).status;
  };

  it('a forward clock step by the key limit makes keyed requests fail with 503 at once', async () => {
    gateway.store.mode = 'silent';
    expect(await statusOf()).toEqual(200);
    clock.stepWall(REVOCATION_LIMIT_MS);
    expect(await statusOf()).toEqual(503);
  });

  it('a backward clock step does not prolong the use of revoked keys', async () => {
    gateway.store.mode = 'silent';
    clock.stepWall(-60_000);
    await delay(REVOCATION_LIMIT_MS);
    expect(await statusOf()).toEqual(503);
  });

  it('after a pause a gateway refuses keyed requests until it has read the store again', async () => {
    gateway.store.mode = 'silent';
    expect(await statusOf()).toEqual(200);
    const countPauses = () =>
      gateway.logs.filter(line => line.includes('process_stood_still')).length;
    const before = countPauses();
    // Shorter than the key limit, so only the detected pause can cause the 503.
    clock.advance(REVOCATION_LIMIT_MS / 2 + 200);
    await waitUntil(
      'the gateway to detect the pause',
      () => countPauses() > before,
    );
    expect(await statusOf()).toEqual(503);
  });

  it('a pause of the gateway does not count as latency of the upstream', async () => {
    const [upstream] = cluster.upstreams;
    const stream = (id: string, delayMs: number) => {
      upstream.chooseBehaviour = () => ({
        kind: 'streamIds',
        ids: [0, 1],
        delayMs,
      });
      return gateway.call({
        path: ROUTE_PATHS.stream,
        headers: createKeyedHeaders(id),
      });
    };
    await stream('calm', 0);
    const paused = stream('held', 300);
    await delay(100);
    clock.advance(7_000);
    await paused;
    await waitUntil('keyed calls to be served', async () => {
      return (await stream('again', 0)).status === 200;
    });
    const expected = gateway.logs
      .filter(line => line.includes('attempt_started requestId=again'))
      .map(line => Number(/expectedFirstEventMs=(\d+)/.exec(line)?.[1]));
    expect(expected.at(-1)! < 100).toEqual(true);
    upstream.chooseBehaviour = () => ({kind: 'answer'});
  });

  it('a clock step on one of three gateways moves no count to another usage window', async () => {
    const others = [await cluster.startGateway(), await cluster.startGateway()];
    await waitUntil('the gateways to discover each other', async () =>
      (await gateway.scrape()).includes('sardinestile_peers 2'),
    );
    clock.stepWall(STEP_WINDOWS * USAGE_WINDOW_MS);
    // The next datagrams of the peers show the offset of this clock.
    await delay(1_200);
    const currentWindow = () => Math.floor(Date.now() / USAGE_WINDOW_MS);
    const firstWindow = currentWindow();
    let sent = 0;
    while (sent < 10) {
      const headers = createKeyedHeaders(`s${sent++}`);
      await gateway.call({path: ROUTE_PATHS.idempotent, headers});
    }
    const countReported = (first: number, last: number) => {
      const countsByWindow = new Map<number, number>();
      for (const {path, body} of cluster.duties.accepted) {
        if (path !== '/usage') continue;
        const counts = body.counts as Record<string, number>;
        countsByWindow.set(Number(body.window_seq), counts['org-one'] ?? 0);
      }
      return [...countsByWindow]
        .filter(([window]) => window >= first && window <= last)
        .reduce((sum, [, count]) => sum + count, 0);
    };
    await waitUntil(
      'the counts to be reported for the windows in which the calls began',
      () => countReported(firstWindow, firstWindow + STEP_WINDOWS / 2) >= sent,
      30_000,
    );
    const steppedWindow = firstWindow + STEP_WINDOWS - 1;
    expect(countReported(steppedWindow, Infinity)).toEqual(0);
    expect(others.length).toEqual(2);
  });
});
