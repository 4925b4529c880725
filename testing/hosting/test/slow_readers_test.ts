import {after, before, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startSlowCaller,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Returns a field of the log line of an event of a request; undefined if there is no such line. */
function fieldOf(
  {logs}: TestGateway,
  event: string,
  requestId: string,
  field: string,
): string | undefined {
  const line = logs.find(
    text =>
      text.includes(`event=${event} `) &&
      text.includes(`requestId=${requestId} `),
  );
  return new RegExp(`\\b${field}=(\\S+)`).exec(line ?? '')?.[1];
}

describe('delays of the events of a stream', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(1);
    gateway = await cluster.startGateway();
  });
  beforeEach(() => (cluster.upstreams[0].received.length = 0));
  after(() => cluster.close());

  it('a pause of the upstream is told apart from a wait in the gateway', async () => {
    cluster.upstreams[0].chooseBehaviour = () => ({
      kind: 'stream',
      events: 4,
      gapMs: 250,
    });
    const headers = createKeyedHeaders('paused');
    await gateway.call({path: ROUTE_PATHS.stream, headers});
    const pauseMs = fieldOf(gateway, 'call_ended', 'paused', 'longestPauseMs');
    const waitMs = fieldOf(gateway, 'call_ended', 'paused', 'longestWaitMs');
    expect(Number(pauseMs) >= 240 && Number(pauseMs) < 600).toEqual(true);
    expect(Number(waitMs) < 100).toEqual(true);
    const metrics = await gateway.scrape();
    expect(metrics).toInclude(
      'sardinestile_stream_longest_pause_seconds_count',
    );
    expect(metrics).toInclude('sardinestile_stream_longest_wait_seconds_count');
  });

  it('an event that a slow caller leaves unread shows its wait', async () => {
    cluster.upstreams[0].chooseBehaviour = () => ({
      kind: 'bulkStream',
      events: 400,
      eventBytes: 50_000,
    });
    const caller = startSlowCaller({
      address: gateway.address,
      path: ROUTE_PATHS.stream,
      headers: createKeyedHeaders('unread'),
    });
    await new Promise(resolve => setTimeout(resolve, 1_500));
    const r = await caller.readRest();
    const isComplete = r.isComplete;
    console.error(
      r.isComplete,
      r.body.length,
      r.status,
      r.headers,
      r.body.slice(0, 100),
    );
    expect(isComplete).toEqual(true);
    await waitUntil(
      'the end of the call',
      () => fieldOf(gateway, 'call_ended', 'unread', 'outcome') === 'served',
    );
    const waitMs = fieldOf(gateway, 'call_ended', 'unread', 'longestWaitMs');
    expect(Number(waitMs) >= 600).toEqual(true);
  });
});
