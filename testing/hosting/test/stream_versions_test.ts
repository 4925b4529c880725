import {afterEach, beforeEach, describe, it} from 'node:test';
import type {UpstreamStandIn} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  eventIds,
  numbersBelow,
  ROUTE_PATHS,
  startConnectedGateways,
  versionsOf,
  waitUntil,
  type GatewayCluster,
  type RawResponse,
  type TestGateway,
} from '../src/index.js';

const EVENTS = 12;

/** Streams of one load; enough that a random choice among versions mixes some. */
const STREAMS = 16;

/** Streams that break off at once, which the retry budget of one gateway allows to go on. */
const BROKEN_STREAMS = 10;

/** Event after which a stream breaks off at its first upstream. */
const BREAK_AFTER = 3;

describe('a stream whose upstream or gateway is lost, while two software versions serve', () => {
  let cluster: GatewayCluster;
  beforeEach(async () => {
    cluster = await createGatewayCluster(0);
  });
  afterEach(() => cluster.close());

  /** Starts upstreams whose streams take 720 ms. */
  const startUpstreams = async (...versions: string[]) => {
    for (const version of versions) {
      const id = `u${cluster.upstreams.length + 1}`;
      const upstream = await cluster.addUpstream(id, 'pool', version);
      upstream.chooseBehaviour = () => ({
        kind: 'stream',
        events: EVENTS,
        gapMs: 60,
      });
    }
  };
  const begin = (gateway: TestGateway, id: string) =>
    gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders(id),
    });
  /** Takes up a stream, as a caller does that has the events of a broken response. */
  const takeUp = (gateway: TestGateway, id: string, broken: RawResponse) =>
    gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders(`${id}-again`, {
        Resumes: id,
        'Last-Event-Id': String(eventIds(broken).at(-1)),
      }),
    });
  /** Begins streams at a gateway and closes it in the middle of them. */
  const loseGateway = async (gateway: TestGateway) => {
    const ids = numbersBelow(STREAMS).map(i => `s${i}`);
    const streams = ids.map(async id => ({
      id,
      broken: await begin(gateway, id),
    }));
    await waitUntil('all streams to arrive', () => {
      const received = cluster.upstreams.flatMap(upstream => upstream.received);
      return received.length >= STREAMS;
    });
    await new Promise(resolve => setTimeout(resolve, 200));
    await gateway.handle.close();
    const begun = await Promise.all(streams);
    return begun.filter(({broken}) => eventIds(broken).length > 0);
  };
  /** Expects that streams that were taken up went on, each at the version that began it. */
  const expectWhole = async (
    gateway: TestGateway,
    begun: Awaited<ReturnType<typeof loseGateway>>,
  ) => {
    expect(begun.length >= STREAMS / 2).toEqual(true);
    for (const {id, broken} of begun) {
      const rest = await takeUp(gateway, id, broken);
      expect(rest.status).toEqual(200);
      expect([...eventIds(broken), ...eventIds(rest)]).toEqual(
        numbersBelow(EVENTS),
      );
      expect(versionsOf(broken, rest).size).toEqual(1);
    }
  };
  /** Expects that a stream that was taken up is refused, and has not run. */
  const expectRefused = (rest: RawResponse, code: string) => {
    expect(rest.status).toEqual(503);
    expect(rest.body).toInclude(code);
    expect(Number(rest.headers['retry-after']) > 0).toEqual(true);
    const arrived = cluster.upstreams.flatMap(({received}) => received);
    expect(arrived.some(({requestId}) => requestId.endsWith('-again'))).toEqual(
      false,
    );
  };

  for (const versions of [
    ['v1', 'v1', 'v2', 'v2'],
    ['v1', 'v1', 'v2', 'v2', 'v2', 'v2', 'v2'],
    ['v2', 'v2', 'v1', 'v1', 'v3', 'v3'],
  ]) {
    it(`goes on within its response at the version that began it: ${versions.join(' ')}`, async () => {
      await startUpstreams(...versions);
      const gateway = await cluster.startGateway();
      breakStreams(cluster.upstreams);
      const responses = await Promise.all(
        numbersBelow(BROKEN_STREAMS).map(i => begin(gateway, `r${i}`)),
      );
      for (const response of responses) {
        expect(eventIds(response)).toEqual(numbersBelow(EVENTS));
        expect(response.isComplete).toEqual(true);
        expect(versionsOf(response).size).toEqual(1);
      }
    });
  }

  it('breaks off if no other upstream of its version is left', async () => {
    await startUpstreams('v1', 'v2', 'v2');
    const gateway = await cluster.startGateway();
    breakStreams(cluster.upstreams.slice(0, 1));
    for (let i = 0; i < STREAMS; i++) {
      const response = await begin(gateway, `b${i}`);
      expect(versionsOf(response).size).toEqual(1);
    }
  });

  it('goes on at another gateway', async () => {
    await startUpstreams('v1', 'v1', 'v2', 'v2');
    const [first, second] = await startConnectedGateways(cluster, 2);
    await expectWhole(second, await loseGateway(first));
  });

  it('goes on at a gateway that has just started', async () => {
    await startUpstreams('v1', 'v1', 'v2', 'v2');
    const [first] = await startConnectedGateways(cluster, 2);
    const begun = await loseGateway(first);
    const successor = await cluster.startGateway();
    await waitUntil('the successor to find its peer', () =>
      successor.logs.some(line => line.includes('event=peer_found')),
    );
    await expectWhole(successor, begun);
  });

  // Guards against a peer's stream whose version is looked up in a list that lacks its upstream.
  it('goes on at a gateway that hears of its upstream only after it began', async () => {
    await startUpstreams('v1', 'v1');
    const [first, second] = await startConnectedGateways(cluster, 2);
    const waitForNewVersion = (gateway: TestGateway) =>
      waitUntil('new streams to begin at the new version', async () => {
        const response = await begin(gateway, `n${performance.now()}`);
        return versionsOf(response).has('v2');
      });
    second.store.mode = 'busy';
    await startUpstreams('v2', 'v2');
    await waitForNewVersion(first);
    const begun = await loseGateway(first);
    second.store.mode = 'up';
    await waitForNewVersion(second);
    const versions = versionsOf(...begun.map(({broken}) => broken));
    expect(versions.has('v2')).toEqual(true);
    await expectWhole(second, begun);
  });

  it('is refused as not run when nobody knows which version began it', async () => {
    await startUpstreams('v1', 'v1', 'v2', 'v2');
    const first = await cluster.startGateway();
    const begun = await loseGateway(first);
    const successor = await cluster.startGateway();
    for (const {id, broken} of begun) {
      expectRefused(
        await takeUp(successor, id, broken),
        'streamVersionUnknown',
      );
    }
  });

  it('is refused as not run when the last upstream of its version has gone', async () => {
    await startUpstreams('v1');
    const [first, second] = await startConnectedGateways(cluster, 2);
    const [{id, broken}] = await loseGateway(first);
    await startUpstreams('v2', 'v2');
    cluster.store.remove('servers', 'u1');
    await waitUntil('new streams to begin at the other version', async () => {
      const response = await begin(second, `n${performance.now()}`);
      return versionsOf(response).has('v2');
    });
    expectRefused(await takeUp(second, id, broken), 'streamVersionUnavailable');
  });
});

/** Makes each upstream break the first run of each stream after some events. */
function breakStreams(upstreams: readonly UpstreamStandIn[]): void {
  for (const upstream of upstreams) {
    upstream.chooseBehaviour = ({headers}) => ({
      kind: 'stream',
      events: EVENTS,
      gapMs: 10,
      breakAfter: headers['last-event-id'] ? undefined : BREAK_AFTER,
    });
  }
}
