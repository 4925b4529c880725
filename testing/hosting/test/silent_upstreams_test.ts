import {afterEach, beforeEach, describe, it} from 'node:test';
import type {UpstreamStandIn} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  eventIds,
  numbersBelow,
  ROUTE_PATHS,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Connections to an upstream that a single gateway may open at least. */
const MAX_CONNECTIONS = 2;

/** A stream that pauses for longer than the time after which another upstream is asked. */
const PAUSING_STREAM = {kind: 'stream', events: 3, gapMs: 1_500} as const;

/** Time for which other calls run, longer than the stream, in milliseconds. */
const OTHER_CALLS_MS = 4_500;

describe('a resumable stream whose upstream pauses', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  beforeEach(async () => {
    cluster = await createGatewayCluster(2);
    cluster.configure(config => {
      config.services[0].max_conns = MAX_CONNECTIONS;
    });
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) =>
        url === ROUTE_PATHS.resumable
          ? PAUSING_STREAM
          : {kind: 'answer', delayMs: OTHER_CALLS_MS};
    }
    gateway = await cluster.startGateway();
  });
  afterEach(() => cluster.close());

  const call = (path: string, id: string) =>
    gateway.call({path, headers: createKeyedHeaders(id)});
  const findUpstream = (id: string): UpstreamStandIn | undefined =>
    cluster.upstreams.find(({received}) =>
      received.some(({requestId}) => requestId === id),
    );

  it('is not broken off when no other upstream has a connection left for it', async () => {
    const stream = call(ROUTE_PATHS.resumable, 'stream');
    await waitUntil('the stream to begin', () => !!findUpstream('stream'));
    const other = cluster.upstreams.find(
      upstream => upstream !== findUpstream('stream'),
    )!;
    const others: Array<ReturnType<typeof call>> = [];
    while (other.received.length < MAX_CONNECTIONS) {
      const id = `other-${others.length}`;
      others.push(call(ROUTE_PATHS.idempotent, id));
      await waitUntil(`${id} to run`, () => !!findUpstream(id));
    }
    const response = await stream;
    expect(response.isComplete).toEqual(true);
    expect(eventIds(response)).toEqual(numbersBelow(PAUSING_STREAM.events));
    await Promise.all(others);
  });
});
