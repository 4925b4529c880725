import {afterEach, beforeEach, describe, it} from 'node:test';
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

const SERVICES = ['pool', 'pool-b', 'pool-c'];

const EVENTS = 12;

/** Streams that are open when a gateway is lost; some of each service. */
const STREAMS = 18;

/** Weights with which the route sends nothing to the service `pool`. */
const LOST_SHARES: Readonly<Record<string, Weights>> = {
  'has been taken off the route': {'pool-b': 1, 'pool-c': 1},
  'has a weight of zero': {pool: 0, 'pool-b': 1, 'pool-c': 1},
};

/** Weights with which the route chooses another service for some streams. */
const NEW_SHARES: Weights = {pool: 1, 'pool-b': 3, 'pool-c': 1};

/** Whether the split changes before or after the loss of all gateways. */
const CHANGE_TIMES = {'just before': true, after: false} as const;

type Weights = Readonly<Record<string, number>>;

interface BegunStream {
  id: string;
  broken: RawResponse;
}

describe('a stream on a route that is split between services, when its gateway is lost', () => {
  let cluster: GatewayCluster;
  beforeEach(async () => {
    cluster = await createGatewayCluster(0);
    for (const [i, service] of SERVICES.entries()) {
      for (const n of [1, 2]) {
        // Services may use the same names of versions.
        const version = i === 2 ? 'v1' : `v${i + 1}`;
        const upstream = await cluster.addUpstream(
          `${service}-${n}`,
          service,
          version,
        );
        upstream.chooseBehaviour = () => ({
          kind: 'stream',
          events: EVENTS,
          gapMs: 60,
        });
      }
    }
    split({pool: 1, 'pool-b': 1, 'pool-c': 1});
  });
  afterEach(() => cluster.close());

  const split = (weights: Weights) =>
    cluster.configure(config => {
      for (const service of SERVICES) {
        if (config.services.some(({name}) => name === service)) continue;
        config.services.push({...config.services[0], name: service});
      }
      const route = config.routes.find(({name}) => name === 'resumable')!;
      delete route.service;
      route.traffic_split = Object.entries(weights).map(
        ([service, weight]) => ({service, weight}),
      );
    });
  const begin = (gateway: TestGateway, id: string) =>
    gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders(id),
    });
  const takeUp = (gateway: TestGateway, {id, broken}: BegunStream) =>
    gateway.call({
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders(`${id}-again`, {
        Resumes: id,
        'Last-Event-Id': String(eventIds(broken).at(-1)),
      }),
    });
  /** Returns the service that a request reached last; undefined if it reached none. */
  const serviceOf = (id: string) => {
    const upstream = cluster.upstreams.find(({received}) =>
      received.some(({requestId}) => requestId === id),
    );
    return upstream?.id.replace(/-\d$/, '');
  };
  const loseGateway = async (
    gateway: TestGateway,
    beforeLoss: () => Promise<void> = async () => undefined,
  ): Promise<BegunStream[]> => {
    const streams = numbersBelow(STREAMS).map(async i => {
      const id = `s${i}`;
      return {id, broken: await begin(gateway, id)};
    });
    await waitUntil('all streams to arrive', () => {
      const received = cluster.upstreams.flatMap(upstream => upstream.received);
      return received.length >= STREAMS;
    });
    await new Promise(resolve => setTimeout(resolve, 200));
    await beforeLoss();
    await gateway.handle.close();
    const begun = (await Promise.all(streams)).filter(
      ({broken}) => eventIds(broken).length > 0,
    );
    const services = new Set(begun.map(({id}) => serviceOf(id)));
    expect([...services].sort()).toEqual(SERVICES);
    return begun;
  };
  const waitForVersion = (gateway: TestGateway, version: number) =>
    waitUntil('the configuration to be applied', () =>
      gateway.logs.some(line =>
        line.includes(`event=config_applied version=${version} `),
      ),
    );
  const expectRefused = (
    {id}: BegunStream,
    {status, body}: RawResponse,
    code: string,
  ) => {
    expect(status).toEqual(503);
    expect(body).toInclude(code);
    expect(serviceOf(`${id}-again`)).toEqual(undefined);
  };

  const expectGoneOn = (stream: BegunStream, rest: RawResponse) => {
    expect(rest.status).toEqual(200);
    expect([...eventIds(stream.broken), ...eventIds(rest)]).toEqual(
      numbersBelow(EVENTS),
    );
    expect(versionsOf(stream.broken, rest).size).toEqual(1);
    expect(serviceOf(`${stream.id}-again`)).toEqual(serviceOf(stream.id));
  };

  // Guards against a service that is chosen by the id of the new request.
  it('goes on at another gateway, at the service and the version that began it', async () => {
    const [first, second] = await startConnectedGateways(cluster, 2);
    for (const stream of await loseGateway(first)) {
      expectGoneOn(stream, await takeUp(second, stream));
    }
  });

  it('goes on at a gateway that has just started and asks another one', async () => {
    const [first] = await startConnectedGateways(cluster, 2);
    const begun = await loseGateway(first);
    const successor = await cluster.startGateway();
    await waitUntil('the successor to find its peer', () =>
      successor.logs.some(line => line.includes('event=peer_found')),
    );
    for (const stream of begun) {
      const {status} = await takeUp(successor, stream);
      expect(status).toEqual(200);
      expect(serviceOf(`${stream.id}-again`)).toEqual(serviceOf(stream.id));
    }
  });

  it('goes on at the service that began it after all gateways were lost', async () => {
    const begun = await loseGateway(await cluster.startGateway());
    const successor = await cluster.startGateway();
    for (const stream of begun) {
      expectGoneOn(stream, await takeUp(successor, stream));
    }
  });

  for (const [time, isChangedBefore] of Object.entries(CHANGE_TIMES)) {
    it(`goes on at no other service if the split changes ${time} all gateways were lost`, async () => {
      const gateway = await cluster.startGateway();
      const begun = await loseGateway(gateway, async () => {
        if (isChangedBefore) await waitForVersion(gateway, split(NEW_SHARES));
      });
      if (!isChangedBefore) split(NEW_SHARES);
      const successor = await cluster.startGateway();
      const goneOn: string[] = [];
      for (const stream of begun) {
        const rest = await takeUp(successor, stream);
        if (rest.status === 200) {
          expectGoneOn(stream, rest);
          goneOn.push(stream.id);
        } else expectRefused(stream, rest, 'streamVersionUnknown');
      }
      expect(goneOn.length > 0).toEqual(true);
      expect(goneOn.length < begun.length).toEqual(true);
    });
  }

  for (const [change, weights] of Object.entries(LOST_SHARES)) {
    it(`is refused as not run when its service ${change}`, async () => {
      const [first, second] = await startConnectedGateways(cluster, 2);
      const begun = await loseGateway(first);
      await waitForVersion(second, split(weights));
      for (const stream of begun) {
        const rest = await takeUp(second, stream);
        if (serviceOf(stream.id) === 'pool') {
          expectRefused(stream, rest, 'streamVersionUnavailable');
        } else expect(rest.status).toEqual(200);
      }
    });
  }
});
