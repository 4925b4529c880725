import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {hostileAnswer} from '../src/hostile/hostile_answers.js';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

const SEEDS = [1, 2, 3];
const REQUESTS = 150;
const CONCURRENCY = 10;

const PATHS = Object.values(ROUTE_PATHS);

/** Time within which a gateway answers a request, whatever upstreams send, in milliseconds. */
const ANSWER_LIMIT_MS = 8_000;

describe('upstreams that answer what no sound upstream answers', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;

  before(async () => {
    cluster = await createGatewayCluster(4);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  for (const seed of SEEDS) {
    it(`fail single requests and not the process, seed ${seed}`, async () => {
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = ({requestId}) => {
          const number = Number(requestId.split('-').at(-1));
          const [bytes] = fc.sample(hostileAnswer(requestId), {
            seed: seed * 100_003 + number,
            numRuns: 1,
          });
          return {kind: 'raw', bytes};
        };
      }
      let next = 0;
      const work = async () => {
        for (let i = next++; i < REQUESTS; i = next++) {
          const requestId = `r-${seed}-${i}`;
          await gateway.call({
            path: PATHS[i % PATHS.length],
            headers: createKeyedHeaders(requestId),
            timeoutMs: ANSWER_LIMIT_MS,
          });
        }
      };
      await Promise.all(Array.from({length: CONCURRENCY}, work));
      const faultLines = gateway.logs.filter(line =>
        line.includes('event=input_failed'),
      );
      expect(faultLines).toEqual([]);
    });
  }
});
