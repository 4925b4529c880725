import {after, before, describe} from 'node:test';
import {expect} from 'earl';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';
import {itOrKnownRed} from '@sardinestile/known_red';
import {
  createGatewayCluster,
  createKeyedHeaders,
  numbersBelow,
  openKeptConnection,
  ROUTE_PATHS,
  startDelayedLink,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

describe('callers of a gateway that stops', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
  });
  after(() => cluster.close());

  const startWith = async (behaviour: UpstreamBehaviour) => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => behaviour;
    }
    gateway = await cluster.startGateway();
  };
  const hasRun = (requestId: string) =>
    cluster.upstreams.some(({received}) =>
      received.some(r => r.requestId === requestId && r.wasProcessed),
    );
  const waitForRun = (requestId: string) =>
    waitUntil(`${requestId} to run`, () => hasRun(requestId));
  const delay = (ms: number) =>
    new Promise<void>(resolve => setTimeout(resolve, ms));

  itOrKnownRed(
    'get an answer to each request that was run, also on connections that had announced keep-alive',
    async () => {
      await startWith({kind: 'answer', delayMs: 150});
      const link = await startDelayedLink(gateway.address, 5);
      const unanswered: string[] = [];
      const endMs = performance.now() + 2_500;
      const call = async (caller: number) => {
        let connection = openKeptConnection(link.address);
        for (let i = 0; performance.now() < endMs; i++) {
          const id = `kept-${caller}-${i}`;
          const {isComplete, headers} = await connection.send({
            path: ROUTE_PATHS.once,
            headers: createKeyedHeaders(id),
            body: id,
          });
          if (!isComplete) unanswered.push(id);
          if (isComplete && headers.connection !== 'close') continue;
          await delay(200);
          connection.close();
          connection = openKeptConnection(link.address);
        }
        connection.close();
      };
      const callers = numbersBelow(40).map(call);
      await delay(500);
      const stopped = gateway.handle.stop();
      await Promise.all(callers);
      await stopped;
      link.close();
      expect(unanswered.filter(hasRun)).toEqual([]);
    },
  );

  itOrKnownRed(
    'get a refusal for a stream whose body arrives too late for the time that is left',
    async () => {
      await startWith({kind: 'stream', events: 60, gapMs: 80});
      const stopped = gateway.handle.stop();
      await delay(2_900);
      const connection = openKeptConnection(gateway.address);
      const {status, headers, isComplete} = await connection.send({
        path: ROUTE_PATHS.resumable,
        headers: createKeyedHeaders('late-body'),
        chunks: ['a'.repeat(500), 'b'.repeat(500)],
        pauseMs: 150,
      });
      expect({status, isComplete, run: hasRun('late-body')}).toEqual({
        status: 503,
        isComplete: true,
        run: false,
      });
      expect(headers['retry-after'] !== undefined).toEqual(true);
      await stopped;
    },
  );

  itOrKnownRed(
    'read the refusal of a request whose body they are still sending',
    async () => {
      await startWith({kind: 'stream', events: 40, gapMs: 80});
      const open = openKeptConnection(gateway.address).send({
        path: ROUTE_PATHS.resumable,
        headers: createKeyedHeaders('open'),
      });
      await waitForRun('open');
      const stopped = gateway.handle.stop();
      await delay(3_200);
      const connection = openKeptConnection(gateway.address);
      const {status, isComplete} = await connection.send({
        path: ROUTE_PATHS.once,
        headers: createKeyedHeaders('long-body'),
        chunks: numbersBelow(10).map(() => 'x'.repeat(8_000)),
        pauseMs: 20,
      });
      expect({status, isComplete}).toEqual({status: 503, isComplete: true});
      await delay(250);
      expect(connection.wasReset).toEqual(false);
      expect((await open).isComplete).toEqual(true);
      await stopped;
    },
  );

  itOrKnownRed(
    'get an answer to a request that no upstream has answered when the grace period ends',
    async () => {
      await startWith({kind: 'silent'});
      const stopped = gateway.handle.stop();
      await delay(2_800);
      const connection = openKeptConnection(gateway.address);
      const {status, isComplete} = await connection.send({
        path: ROUTE_PATHS.once,
        headers: createKeyedHeaders('unanswered'),
      });
      expect({status, isComplete}).toEqual({status: 502, isComplete: true});
      await stopped;
    },
  );
});
