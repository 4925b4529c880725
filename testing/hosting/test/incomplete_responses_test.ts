import {after, afterEach, before, describe} from 'node:test';
import {
  createStoreState,
  startStoreListener,
  startUpstreamStandIn,
  type StandInListener,
  type UpstreamBehaviour,
  type UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createInitialConfiguration,
  createKeyedHeaders,
  looksWhole,
  prepareGatewayProcess,
  PROCESS_PORTS,
  ROUTE_PATHS,
  startSlowCaller,
  waitUntil,
  type GatewayCluster,
  type GatewayProcess,
  type RawResponse,
  type TestGateway,
} from '../src/index.js';

/** Calls of a case, so that each order of the events of its sockets has a chance. */
const CALLS = 20;

/** Returns the number of responses by status. */
function countStatuses(responses: readonly RawResponse[]) {
  const counts: Record<number, number> = {};
  for (const {status} of responses) counts[status] = (counts[status] ?? 0) + 1;
  return counts;
}

describe('incomplete responses', () => {
  describe('of upstreams', () => {
    let cluster: GatewayCluster;
    let gateway: TestGateway;
    before(async () => {
      cluster = await createGatewayCluster(2);
      gateway = await cluster.startGateway();
    });
    after(() => cluster.close());

    const behave = (choose: UpstreamStandIn['chooseBehaviour']) => {
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = choose;
      }
    };

    let callCount = 0;
    const book = () =>
      gateway.call({
        method: 'POST',
        path: ROUTE_PATHS.once,
        headers: createKeyedHeaders(`call-${++callCount}`),
        body: 'order',
      });
    const bookSeveral = async (behaviour: UpstreamBehaviour) => {
      behave(() => behaviour);
      const responses: RawResponse[] = [];
      for (let i = 0; i < CALLS; i++) responses.push(await book());
      return responses;
    };

    describe('without a length', () => {
      for (const bodyBytes of [1_000, 20_000, 300_000]) {
        itOrKnownRed(
          `are not passed on as complete after a reset beside the last of ${bodyBytes} bytes`,
          async () => {
            const behaviour = {kind: 'resetBesideData', bodyBytes} as const;
            const responses = await bookSeveral(behaviour);
            expect(countStatuses(responses)).toEqual({502: CALLS});
          },
        );
      }

      itOrKnownRed(
        'are broken off after a reset if a part was forwarded',
        async () => {
          const bodyBytes = 3_000_000;
          behave(() => ({
            kind: 'resetBesideData',
            bodyBytes,
            resetAfterMs: 300,
          }));
          const response = await book();
          expect(response.status).toEqual(200);
          expect(looksWhole(response)).toEqual(false);
        },
      );

      itOrKnownRed(
        'are resumed after a reset beside an event of a stream',
        async () => {
          behave(({headers}) =>
            headers['last-event-id'] === undefined
              ? {kind: 'unframedStream', events: 3, isReset: true}
              : {kind: 'unframedStream', events: 6},
          );
          const {body} = await gateway.call({
            path: ROUTE_PATHS.resumable,
            headers: createKeyedHeaders(`call-${++callCount}`),
          });
          expect(body).toEqual(expect.includes('data: event 5\n'));
        },
      );

      for (const copyAfterMs of [0, 100]) {
        itOrKnownRed(
          `are not passed on with a second copy that follows after ${copyAfterMs} ms`,
          async () => {
            const body = 'x'.repeat(2_000);
            const responses = await bookSeveral({
              kind: 'unframedTwice',
              body,
              copyAfterMs,
            });
            const wrong = responses.filter(
              response =>
                response.status === 200 &&
                looksWhole(response) &&
                response.body !== body,
            );
            expect(wrong.length).toEqual(0);
          },
        );
      }
    });

    itOrKnownRed(
      'are not passed on to a later call if their copy names no request',
      async () => {
        behave(({requestId}) => ({
          kind: 'afterCopy',
          body: `for ${requestId}`,
          isCopyUnsigned: true,
        }));
        const responses: RawResponse[] = [];
        for (let i = 0; i < CALLS; i++) responses.push(await book());
        const wrong = responses.filter(
          ({status, body}, i) =>
            status === 200 && body !== `for call-${callCount - CALLS + i + 1}`,
        );
        expect(wrong.length).toEqual(0);
      },
    );
  });

  describe('that end their connections in order', () => {
    let cluster: GatewayCluster;
    before(async () => {
      cluster = await createGatewayCluster(1);
    });
    after(() => cluster.close());

    itOrKnownRed('do not fail the calls after them', async () => {
      const gateway = await cluster.startGateway();
      cluster.upstreams[0].chooseBehaviour = () => ({
        kind: 'unframed',
        body: 'done',
      });
      const responses = await Promise.all(
        Array.from({length: 2 * CALLS}, (_, i) =>
          gateway.call({
            method: 'POST',
            path: ROUTE_PATHS.once,
            headers: createKeyedHeaders(`together-${i}`),
            body: 'order',
          }),
        ),
      );
      expect(countStatuses(responses)).toEqual({200: 2 * CALLS});
    });
  });

  describe('of a gateway that is killed', () => {
    const state = createStoreState();
    let store: StandInListener;
    let upstream: UpstreamStandIn;
    let gateway: GatewayProcess;
    before(async () => {
      store = await startStoreListener(state);
      upstream = await startUpstreamStandIn('u1');
      state.putJson('servers', 'u1', {
        service: 'pool',
        address: upstream.address,
        zone: 'a',
        version: upstream.softwareVersion,
        slots: 8,
        state: 'ready',
        cold_left_ms: 0,
        seq: 1,
      });
      state.putJson('op', 'config', createInitialConfiguration());
    });
    after(() => Promise.all([store.close(), upstream.close()]));
    afterEach(() => gateway.end());

    itOrKnownRed(
      'do not look whole if the upstream gave no length',
      async () => {
        const host = `127.81.${process.pid % 250}.1`;
        gateway = prepareGatewayProcess({host, storeAddress: store.address});
        gateway.start();
        await waitUntil('the gateway to be ready', () => gateway.isReady());
        const body = 'x'.repeat(24_000_000);
        upstream.chooseBehaviour = () => ({kind: 'unframed', body});
        const callers = Array.from({length: 4}, (_, i) =>
          startSlowCaller({
            address: `${host}:${PROCESS_PORTS.callers}`,
            path: ROUTE_PATHS.idempotent,
            headers: createKeyedHeaders(`killed-${i}`),
            readBytes: 100_000,
          }),
        );
        await Promise.all(callers.map(({slowed}) => slowed));
        gateway.signal('SIGKILL');
        await gateway.exited;
        const responses = await Promise.all(
          callers.map(caller => caller.readRest()),
        );
        expect(responses.map(looksWhole)).toEqual([false, false, false, false]);
      },
    );
  });
});
