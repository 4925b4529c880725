import {after, afterEach, before, describe, it} from 'node:test';
import {platformHeaderCodec} from '@sardinestile/adapter_platform';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Deadline of a request, in milliseconds. */
const DEADLINE_MS = 4_000;

/** Time within which a request that failed is answered, in milliseconds. */
const ANSWER_LIMIT_MS = 2_000;

describe('a gateway whose code fails at the end of an upstream response', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  let isFailing = false;

  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway(createSystemClock(), {
      ...platformHeaderCodec,
      callerHeaders(headers) {
        if (isFailing) throw new Error('no headers for callers');
        return platformHeaderCodec.callerHeaders(headers);
      },
    });
  });
  afterEach(() => (isFailing = false));
  after(() => cluster.close());

  const call = (path: string, requestId: string) =>
    gateway.call({
      path,
      headers: {
        ...createKeyedHeaders(requestId),
        'Deadline-Ms': String(DEADLINE_MS),
      },
      timeoutMs: 2 * DEADLINE_MS,
    });

  const cases = [
    {name: 'a request that runs once', path: ROUTE_PATHS.once, status: 200},
    {
      name: 'a request that may be repeated',
      path: ROUTE_PATHS.idempotent,
      status: 200,
    },
    {name: 'a stream that was refused', path: ROUTE_PATHS.stream, status: 404},
  ];
  for (const [i, {name, path, status}] of cases.entries()) {
    it(`answers ${name} with 500 at once, and serves the next one`, async () => {
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = () => ({kind: 'answer', status});
      }
      isFailing = true;
      const startedAtMs = performance.now();
      const failed = await call(path, `failed-${i}`);
      const elapsedMs = performance.now() - startedAtMs;
      isFailing = false;
      expect([failed.status, elapsedMs < ANSWER_LIMIT_MS]).toEqual([500, true]);
      const failures = gateway.logs.filter(line =>
        line.includes('event=input_failed '),
      );
      expect(failures.length).toEqual(i + 1);
      expect((await call(path, `next-${i}`)).status).toEqual(status);
    });
  }
});
