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

describe('usage reports of gateways', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateways = [
      await cluster.startGateway(),
      await cluster.startGateway(),
      await cluster.startGateway(),
    ];
  });
  after(() => cluster.close());

  /** Returns the sum of all reported requests; fails if a window was reported with different counts. */
  const sumReported = () => {
    const counts = new Map<unknown, string>();
    let sum = 0;
    for (const {body} of cluster.duties.accepted) {
      const reportedCounts = body.counts as Record<string, number>;
      const text = JSON.stringify(reportedCounts);
      const known = counts.get(body.window_seq);
      if (known !== undefined) {
        expect(known).toEqual(text);
        continue;
      }
      counts.set(body.window_seq, text);
      sum += reportedCounts['org-one'] ?? 0;
    }
    return sum;
  };

  it('count every request once, also of a gateway that the store rejects', async () => {
    let sent = 0;
    const send = async (gateway: TestGateway) => {
      const headers = createKeyedHeaders(`u${sent}`);
      const {status} = await gateway.call({
        path: ROUTE_PATHS.idempotent,
        headers,
      });
      expect(status).toEqual(200);
      sent++;
    };
    for (let round = 0; round < 10; round++) {
      for (const gateway of gateways) await send(gateway);
    }
    gateways[1].store.mode = 'busy';
    for (let round = 0; round < 10; round++) await send(gateways[1]);
    await waitUntil(
      'all usage to be reported',
      () => sumReported() === sent,
      20_000,
    );
    expect(sumReported()).toEqual(sent);
    gateways[1].store.mode = 'up';
  });

  it('count every request of a gateway whose counts a peer stores, also after that peer is gone', async () => {
    const before = sumReported();
    const follower = gateways.find(({logs}) =>
      logs.some(line => /config_source_changed.*peer=/.test(line)),
    )!;
    const [, writerName] = /config_source_changed.*peer=(\S+)/.exec(
      follower.logs.findLast(line => line.includes('config_source_changed'))!,
    )!;
    let sent = 0;
    const send = async () => {
      const headers = createKeyedHeaders(`w${sent}`);
      const {status} = await follower.call({
        path: ROUTE_PATHS.idempotent,
        headers,
      });
      expect(status).toEqual(200);
      sent++;
    };
    for (let round = 0; round < 10; round++) await send();
    await waitUntil(
      'the usage of the follower to be reported',
      () => sumReported() === before + sent,
      20_000,
    );
    const writer = gateways.find(({instance}) => instance === writerName)!;
    await writer.handle.close();
    gateways = gateways.filter(gateway => gateway !== writer);
    for (let round = 0; round < 10; round++) await send();
    await waitUntil(
      'the later usage to be reported',
      () => sumReported() === before + sent,
      20_000,
    );
  });

  it('never carry one fencing token from two lease holders', () => {
    const holders = new Map<number, string>();
    for (const {fencingToken, holder} of cluster.duties.accepted) {
      const known = holders.get(fencingToken) ?? holder;
      expect(holder).toEqual(known);
      holders.set(fencingToken, holder);
    }
    expect(cluster.duties.rejected.length).toEqual(0);
  });
});

describe('the lease for usage reports', () => {
  let cluster: GatewayCluster;
  before(async () => {
    cluster = await createGatewayCluster(1);
  });
  after(() => cluster.close());

  it('moves to the fourth gateway when the store rejects the first three', async () => {
    const gateways: TestGateway[] = [];
    for (let i = 0; i < 4; i++) gateways.push(await cluster.startGateway());
    const last = gateways[3];
    const call = (requestId: string) =>
      last.call({
        path: ROUTE_PATHS.idempotent,
        headers: createKeyedHeaders(requestId),
      });
    await call('d1');
    await waitUntil('a first report', () => cluster.duties.accepted.length > 0);
    for (const gateway of gateways.slice(0, 3)) gateway.store.mode = 'busy';
    await waitUntil(
      'the last gateway to hold the lease',
      () => last.logs.some(line => line.includes('lease_acquired')),
      20_000,
    );
    const before = cluster.duties.accepted.length;
    await call('d2');
    await waitUntil(
      'a report of the last gateway',
      () => cluster.duties.accepted.length > before,
    );
  });
});

describe('a usage window whose report is due 10 s after its end', () => {
  const WINDOW_MS = 2_000;
  let cluster: GatewayCluster;
  before(async () => {
    cluster = await createGatewayCluster(1, {
      usageWindowMs: WINDOW_MS,
      usageDueMs: 10_000,
    });
    const gateway = await cluster.startGateway();
    await gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders('d0'),
    });
    await waitUntil(
      'the first window to be reported',
      () => cluster.duties.accepted.length > 0,
    );
  });
  after(() => cluster.close());

  // Guards against windows that are closed while the counts of a gateway that could not
  // reach the store, or whose write was carried out late, are still on their way.
  it('includes counts that are stored three seconds after its end', async () => {
    const startMs = Math.ceil(Date.now() / WINDOW_MS) * WINDOW_MS;
    const windowId = String(startMs).padStart(14, '0');
    const sleepUntil = (atMs: number) =>
      new Promise(resolve => setTimeout(resolve, atMs - Date.now()));
    await sleepUntil(startMs + WINDOW_MS + 3_000);
    const sums = {
      'org-late': {requests: 3, promptTokens: 0, outputTokens: 0},
    };
    cluster.store.transact({
      puts: [
        {
          table: 'system',
          part: 'p',
          key: `usage/sums/${windowId}/other-gateway`,
          value: Buffer.from(JSON.stringify(sums)).toString('base64'),
        },
      ],
    });
    await waitUntil('the window to be reported', () =>
      cluster.duties.accepted.some(
        ({body}) => body.window_seq === startMs / WINDOW_MS,
      ),
    );
    const report = cluster.duties.accepted.find(
      ({body}) => body.window_seq === startMs / WINDOW_MS,
    );
    expect(report?.body.counts).toEqual({'org-late': 3});
  });
});
