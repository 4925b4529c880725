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

/** Streams that are open when the gateways are lost. */
const STREAMS = 8;

/** Streams of each measurement of resumes against new streams. */
const MEASURED_STREAMS = 20;

/** Whether a caller names the request that brought the first event of its stream. */
const CALLERS = {
  'that names its request': true,
  'that names no request': false,
} as const;

interface BegunStream {
  id: string;
  broken: RawResponse;
}

describe('a stream that its caller resumes after all gateways were lost', () => {
  let cluster: GatewayCluster;
  beforeEach(async () => {
    cluster = await createGatewayCluster(0);
  });
  afterEach(() => cluster.close());

  const behave = (upstream: UpstreamStandIn, version: string) => {
    upstream.softwareVersion = version;
    upstream.chooseBehaviour = () => ({
      kind: 'stream',
      events: EVENTS,
      gapMs: 60,
    });
  };
  const startUpstreams = async (...versions: string[]) => {
    for (const version of versions) {
      const id = `u${cluster.upstreams.length + 1}`;
      behave(await cluster.addUpstream(id, 'pool', version), version);
    }
  };
  const begin = (gateway: TestGateway, id: string) =>
    gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders(id),
    });
  const resume = (
    gateway: TestGateway,
    {id, broken}: BegunStream,
    isNamed: boolean,
    attempt = 'again',
  ) =>
    gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders(`${id}-${attempt}`, {
        'Last-Event-Id': String(eventIds(broken).at(-1)),
        ...(isNamed ? {Resumes: id} : {}),
      }),
    });
  const isRecorded = (version: string) =>
    cluster.store
      .rows('system', 'p')
      .some(
        ({key, value}) =>
          key === 'streams/versions' &&
          Buffer.from(value, 'base64').toString().includes(`"${version}"`),
      );
  /** Begins streams and closes all gateways in the middle of them. */
  const loseAll = async (gateways: readonly TestGateway[]) => {
    const streams = numbersBelow(STREAMS).map(async i => {
      const id = `s${i}`;
      return {id, broken: await begin(gateways[i % gateways.length], id)};
    });
    await waitUntil('all streams to arrive', () => {
      const received = cluster.upstreams.flatMap(upstream => upstream.received);
      return received.length >= STREAMS;
    });
    await new Promise(resolve => setTimeout(resolve, 200));
    await Promise.all(gateways.map(({handle}) => handle.close()));
    const begun = await Promise.all(streams);
    return begun.filter(({broken}) => eventIds(broken).length > 0);
  };
  /** Loses all gateways after a release, and restores the store from a copy of before it. */
  const restoreBeforeRelease = async () => {
    await startUpstreams('v1');
    const first = await cluster.startGateway();
    await waitUntil('the version to be recorded', () => isRecorded('v1'));
    const copy = cluster.store.copy();
    await startUpstreams('v2', 'v2');
    cluster.store.remove('servers', 'u1');
    await waitUntil('the new version to be recorded', () => isRecorded('v2'));
    const begun = await loseAll([first]);
    cluster.store.restore(copy);
    return {begun, successor: await cluster.startGateway()};
  };
  const expectWhole = (
    begun: BegunStream,
    rest: RawResponse,
    version: string,
  ) => {
    expect(rest.status).toEqual(200);
    expect([...eventIds(begun.broken), ...eventIds(rest)]).toEqual(
      numbersBelow(EVENTS),
    );
    expect([...versionsOf(begun.broken, rest)]).toEqual([version]);
  };
  /** Expects that no resume was joined from two versions or reached an upstream. */
  const expectRefused = (rest: RawResponse) => {
    expect(rest.status).toEqual(503);
    expect(rest.body).toInclude('streamVersionUnknown');
    expect(Number(rest.headers['retry-after']) > 0).toEqual(true);
    const arrived = cluster.upstreams.flatMap(({received}) => received);
    expect(arrived.some(({requestId}) => requestId.endsWith('-again'))).toEqual(
      false,
    );
  };

  for (const [caller, isNamed] of Object.entries(CALLERS)) {
    describe(`by a caller ${caller}`, () => {
      it('goes on if one version alone has served', async () => {
        await startUpstreams('v1', 'v1');
        const gateways = await startConnectedGateways(cluster, 2);
        const begun = await loseAll(gateways);
        const successor = await cluster.startGateway();
        expect(begun.length > 0).toEqual(true);
        for (const stream of begun) {
          const rest = await resume(successor, stream, isNamed);
          expectWhole(stream, rest, 'v1');
        }
      });

      it('is refused as not run if the upstreams of the old version have just left', async () => {
        await startUpstreams('v1', 'v1');
        const begun = await loseAll([await cluster.startGateway()]);
        await startUpstreams('v2', 'v2');
        cluster.store.remove('servers', 'u1');
        cluster.store.remove('servers', 'u2');
        const successor = await cluster.startGateway();
        for (const stream of begun) {
          expectRefused(await resume(successor, stream, isNamed));
        }
      });

      it('is refused as not run if the upstreams of the old version are leaving', async () => {
        await startUpstreams('v1', 'v1');
        const begun = await loseAll([await cluster.startGateway()]);
        await startUpstreams('v2', 'v2');
        for (const upstream of cluster.upstreams.slice(0, 2)) {
          cluster.register(upstream, {state: 'draining'});
        }
        const successor = await cluster.startGateway();
        for (const stream of begun) {
          expectRefused(await resume(successor, stream, isNamed));
        }
      });

      it('is refused as not run if an upstream is back under its id with another version', async () => {
        await startUpstreams('v1');
        const begun = await loseAll([await cluster.startGateway()]);
        behave(cluster.upstreams[0], 'v2');
        cluster.register(cluster.upstreams[0], {born: Date.now()});
        const successor = await cluster.startGateway();
        for (const stream of begun) {
          expectRefused(await resume(successor, stream, isNamed));
        }
      });

      it('is refused as not run while the versions that have served cannot be read', async () => {
        await startUpstreams('v1');
        const begun = await loseAll([await cluster.startGateway()]);
        const successor = await cluster.startGateway();
        successor.store.mode = 'busy';
        expectRefused(await resume(successor, begun[0], isNamed));
      });

      it('is refused as not run after a restore that may have lost a version', async () => {
        const {begun, successor} = await restoreBeforeRelease();
        for (const stream of begun) {
          expectRefused(await resume(successor, stream, isNamed));
        }
      });

      // Guards against a row that a gateway read after the restore and takes for its own knowledge.
      it('is refused as not run also when the versions were written again after such a restore', async () => {
        const {begun, successor} = await restoreBeforeRelease();
        expectRefused(await resume(successor, begun[0], isNamed));
        await waitUntil('the versions to be written again', () =>
          successor.logs.some(line =>
            line.includes('event=stream_versions_recorded'),
          ),
        );
        await new Promise(resolve => setTimeout(resolve, 600));
        expectRefused(await resume(successor, begun[0], isNamed));
      });
    });
  }

  it('goes on at its version where one gateway of two is left', async () => {
    await startUpstreams('v1', 'v1');
    const [first, second] = await startConnectedGateways(cluster, 2);
    await startUpstreams('v2', 'v2');
    await waitUntil('new streams to begin at both versions', async () => {
      const response = await begin(second, `n${performance.now()}`);
      return versionsOf(response).has('v2');
    });
    const begun = await loseAll([first]);
    for (const stream of begun) {
      const rest = await resume(second, stream, true);
      const [version] = versionsOf(stream.broken);
      expectWhole(stream, rest, version);
    }
  });

  it('is refused when a resume of it is resumed, and two versions serve by then', async () => {
    await startUpstreams('v1', 'v1');
    const first = await cluster.startGateway();
    const begun = await loseAll([first]);
    const second = await cluster.startGateway();
    const [stream] = begun;
    const resuming = resume(second, stream, true, 'middle');
    await new Promise(resolve => setTimeout(resolve, 150));
    await second.handle.close();
    const middle = await resuming;
    expect(middle.isComplete).toEqual(false);
    expect(eventIds(middle).length > 0).toEqual(true);
    const third = await cluster.startGateway();
    await startUpstreams('v2', 'v2');
    await waitUntil('both versions to be recorded', () => isRecorded('v2'));
    const received = {
      id: stream.id,
      broken: {...stream.broken, body: stream.broken.body + middle.body},
    };
    expectRefused(await resume(third, received, true));
  });

  it('goes on as often as new streams begin, where one version has served', async () => {
    await startUpstreams('v1', 'v1');
    const begun = await loseAll([await cluster.startGateway()]);
    const successor = await cluster.startGateway();
    let goneOn = 0;
    let beginning = 0;
    for (let i = 0; i < MEASURED_STREAMS; i++) {
      const stream = begun[i % begun.length];
      const [rest, fresh] = await Promise.all([
        resume(successor, stream, i % 2 === 0, `again-${i}`),
        begin(successor, `n${i}`),
      ]);
      if (rest.status === 200) goneOn++;
      if (fresh.status === 200) beginning++;
    }
    expect(goneOn >= 0.9 * beginning).toEqual(true);
    expect(beginning > 0).toEqual(true);
  });
});
