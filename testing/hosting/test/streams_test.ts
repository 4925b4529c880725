import {after, before, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  createKeyedHeaders,
  looksWhole,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
  type RawResponse,
} from '../src/index.js';

/** Returns the ids of the complete events of a response, in order. */
function eventIds({body}: RawResponse): number[] {
  return [...body.matchAll(/id: (\d+)\ndata: event \d+\n\n/g)].map(match =>
    Number(match[1]),
  );
}

const numbersBelow = (count: number) =>
  Array.from({length: count}, (_, i) => i);

describe('streams', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  beforeEach(() => {
    for (const upstream of cluster.upstreams) upstream.received.length = 0;
  });
  after(() => cluster.close());

  /** Applies a behaviour to the next request that any upstream receives; later requests get a complete stream. */
  const behaveOnce = (behaviour: UpstreamBehaviour, events = 10) => {
    let isFirst = true;
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => {
        const chosen = isFirst ? behaviour : {kind: 'stream' as const, events};
        isFirst = false;
        return chosen;
      };
    }
  };
  const receivedRequests = () =>
    cluster.upstreams.flatMap(({received}) => received);
  const call = (path: string, id: string, more = {}) =>
    gateway.call({
      method: 'POST',
      path,
      headers: createKeyedHeaders(id),
      body: 'x',
      ...more,
    });

  describe('without a length or chunks', () => {
    it('end in order when the upstream has sent all events', async () => {
      behaveOnce({kind: 'unframedStream', events: 4});
      const response = await call(ROUTE_PATHS.stream, 'unframed');
      expect(eventIds(response)).toEqual(numbersBelow(4));
      expect(response.isComplete).toEqual(true);
    });

    it('do not look complete when the upstream ends inside an event', async () => {
      behaveOnce({kind: 'unframedStream', events: 6, endsInside: 3});
      const response = await call(ROUTE_PATHS.stream, 'unframed-broken');
      expect(looksWhole(response)).toEqual(false);
    });

    it('do not look complete when the gateway closes before their end', async () => {
      const closing = await cluster.startGateway();
      behaveOnce({kind: 'unframedStream', events: 6, isHeldOpen: true});
      const response = closing.call({
        path: ROUTE_PATHS.stream,
        headers: createKeyedHeaders('unframed-closed'),
      });
      await waitUntil('the stream to begin', () =>
        receivedRequests().some(
          ({requestId}) => requestId === 'unframed-closed',
        ),
      );
      await new Promise(resolve => setTimeout(resolve, 200));
      await closing.handle.close();
      expect(looksWhole(await response)).toEqual(false);
    });

    it('are resumed, where that is allowed, when the upstream ends inside an event', async () => {
      behaveOnce({kind: 'unframedStream', events: 10, endsInside: 3});
      const response = await call(ROUTE_PATHS.resumable, 'unframed-resumed');
      expect(eventIds(response)).toEqual(numbersBelow(10));
      expect(response.isComplete).toEqual(true);
    });
  });

  it('forward events in order and end when the upstream ends', async () => {
    behaveOnce({kind: 'stream', events: 10});
    const response = await call(ROUTE_PATHS.stream, 's1');
    expect(response.isComplete).toEqual(true);
    expect(eventIds(response)).toEqual(numbersBelow(10));
  });

  describe('that are interrupted', () => {
    const interruptions: Array<[string, UpstreamBehaviour]> = [
      ['within an event', {kind: 'stream', events: 10, breakAfter: 4}],
      ['before the first event', {kind: 'stream', events: 10, breakAfter: -1}],
      ['by silence', {kind: 'stream', events: 10, silentAfter: 4}],
      ['by an error', {kind: 'answer', status: 500}],
      [
        'by silence after the last event',
        {kind: 'stream', events: 10, silentAfter: 9},
      ],
    ];
    for (const [name, behaviour] of interruptions) {
      it(`${name}: resume at another upstream without a missing or repeated event`, async () => {
        behaveOnce(behaviour);
        const response = await call(
          ROUTE_PATHS.resumable,
          `r-${name.replaceAll(' ', '-')}`,
        );
        expect(response.isComplete).toEqual(true);
        expect(eventIds(response)).toEqual(numbersBelow(10));
        expect(receivedRequests().length).toEqual(2);
      });
    }

    it('end as incomplete if their route is not resumable', async () => {
      behaveOnce({kind: 'stream', events: 10, breakAfter: 4});
      const response = await call(ROUTE_PATHS.stream, 'n1');
      expect(response.isComplete).toEqual(false);
      expect(eventIds(response)).toEqual(numbersBelow(5));
      expect(receivedRequests().length).toEqual(1);
    });

    it('are cancelled at a stalled upstream when they resume at another one', async () => {
      behaveOnce({kind: 'stream', events: 10, silentAfter: 4});
      await call(ROUTE_PATHS.resumable, 't1');
      const isCancelled = () =>
        receivedRequests().some(({wasAborted}) => wasAborted);
      await waitUntil('the stalled request to be cancelled', isCancelled, 400);
    });
  });

  it('forward an event once when the upstream repeats it', async () => {
    behaveOnce({kind: 'streamIds', ids: [0, 1, 1, 0, 2, 3]});
    const response = await call(ROUTE_PATHS.stream, 'o1');
    expect(response.isComplete).toEqual(true);
    expect(eventIds(response)).toEqual(numbersBelow(4));
  });

  it('end as incomplete when the upstream skips an event', async () => {
    behaveOnce({kind: 'streamIds', ids: [0, 1, 3, 4]});
    const response = await call(ROUTE_PATHS.stream, 'o2');
    expect(response.isComplete).toEqual(false);
    expect(eventIds(response)).toEqual(numbersBelow(2));
  });

  it('keep the headers of their first upstream when they resume at another one', async () => {
    behaveOnce({kind: 'stream', events: 10, breakAfter: 4});
    const response = await call(ROUTE_PATHS.resumable, 'h1');
    const first = cluster.upstreams.find(({received}) =>
      received.some(({wasAborted}) => wasAborted),
    );
    expect(response.headers['response-stamp']).toEqual(`${first?.id}.h1`);
  });

  it('resume after the Last-Event-Id of the caller', async () => {
    behaveOnce({kind: 'stream', events: 10});
    const headers = createKeyedHeaders('l1', {'Last-Event-Id': '6'});
    const response = await call(ROUTE_PATHS.resumable, 'l1', {headers});
    expect(eventIds(response)).toEqual([7, 8, 9]);
  });

  it('are cancelled at the upstream within half a second after the caller disconnects', async () => {
    behaveOnce({kind: 'stream', events: 1_000, gapMs: 20});
    const disconnected = call(ROUTE_PATHS.stream, 'g1', {
      disconnectAfterMs: 150,
    });
    await disconnected;
    const [run] = receivedRequests();
    await waitUntil('the request to be cancelled', () => run.wasAborted, 500);
  });

  it('end when the timeout of their route expires', async () => {
    const version = cluster.configure(config => {
      const route = config.routes.find(({name}) => name === 'stream');
      route!.timeout_ms = 400;
    });
    await waitUntil('the new timeout to be applied', () =>
      gateway.logs.some(line =>
        line.includes(`config_applied version=${version}`),
      ),
    );
    behaveOnce({kind: 'stream', events: 1_000, gapMs: 20});
    const startedMs = performance.now();
    const response = await call(ROUTE_PATHS.stream, 'o1');
    expect(response.isComplete).toEqual(false);
    expect(performance.now() - startedMs < 900).toEqual(true);
  });
});
