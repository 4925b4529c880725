import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startSlowCaller,
  waitUntil,
  type GatewayCluster,
  type SlowCaller,
  type TestGateway,
} from '../src/index.js';

/** Time for which the upstreams leave a response unread before they reset its connection. */
const CUT_OFF_UNREAD_MS = 2_000;

/** Time for which the callers do not read. */
const UNREAD_MS = 3_000;

describe('a response that the upstream cuts off because it stayed unread', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  const callers: SlowCaller[] = [];
  before(async () => {
    cluster = await createGatewayCluster(2);
    cluster.configure(config => {
      for (const route of config.routes) route.timeout_ms = 10_000;
    });
    gateway = await cluster.startGateway();
  });
  after(() => {
    callers.forEach(caller => caller.disconnect());
    return cluster.close();
  });

  const logged = (event: string, requestId: string) =>
    gateway.logs.filter(
      line =>
        line.includes(`event=${event} `) &&
        line.includes(`requestId=${requestId} `),
    );
  /** Lets a caller leave its response unread for longer than the upstreams allow. */
  const leaveUnread = async (requestId: string, path: string) => {
    for (const upstream of cluster.upstreams) {
      upstream.received.length = 0;
      upstream.chooseBehaviour = () => ({
        kind: 'bulkStream',
        events: 400,
        eventBytes: 50_000,
        cutOffUnreadMs: CUT_OFF_UNREAD_MS,
      });
    }
    const caller = startSlowCaller({
      address: gateway.address,
      path,
      headers: createKeyedHeaders(requestId),
    });
    callers.push(caller);
    await new Promise(resolve => setTimeout(resolve, UNREAD_MS));
    const response = await caller.readRest();
    await waitUntil(
      'the end of the call',
      () => logged('call_ended', requestId).length > 0,
    );
    return response;
  };

  for (const [name, path] of [
    ['resumable stream', ROUTE_PATHS.resumable],
    ['stream that cannot be resumed', ROUTE_PATHS.stream],
    ['large plain response', ROUTE_PATHS.idempotent],
  ]) {
    it(`is broken off without a retry and does not count against the upstream: a ${name}`, async () => {
      const requestId = `cut-${path.split('/')[1]}`;
      const {isComplete} = await leaveUnread(requestId, path);
      expect(isComplete).toEqual(false);
      const received = cluster.upstreams.flatMap(upstream => upstream.received);
      expect(received.length).toEqual(1);
      const [ended] = logged('attempt_ended', requestId);
      expect(ended).toInclude('outcome=cutOff');
      expect(logged('response_cut_off_unread', requestId).length).toEqual(1);
      expect(logged('call_ended', requestId)[0]).toInclude('outcome=brokenOff');
      const metrics = await gateway.scrape();
      expect(metrics).toInclude(
        'sardinestile_upstreams_resting{service="pool"} 0',
      );
      // Later requests find an upstream without errors.
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = () => ({kind: 'answer'});
      }
      for (let i = 0; i < 6; i++) {
        const id = `${requestId}-after${i}`;
        const headers = createKeyedHeaders(id);
        await gateway.call({path: ROUTE_PATHS.idempotent, headers});
        expect(logged('attempt_started', id)[0]).toInclude('errorRate=0');
        expect(logged('attempt_started', id)[0]).not.toInclude('errorRate=0.');
      }
      expect(
        gateway.logs.filter(line => line.includes('event=upstream_crashed')),
      ).toEqual([]);
    });
  }

  it('is told apart from an upstream that resets a stream that is read', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.received.length = 0;
      upstream.chooseBehaviour = ({headers}) => ({
        kind: 'stream',
        events: 6,
        breakAfter: headers['last-event-id'] === undefined ? 2 : undefined,
      });
    }
    const {isComplete} = await gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders('read'),
    });
    expect(isComplete).toEqual(true);
    expect(logged('attempt_ended', 'read')[0]).toInclude('outcome=unknown');
    expect(logged('attempt_ended', 'read').length).toEqual(2);
  });
});
