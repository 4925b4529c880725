import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startConnectedGateways,
  startCrashingUpstreams,
  type CrashingUpstreams,
  type GatewayCluster,
  type RawResponse,
  type TestGateway,
} from '../src/index.js';

/** Time within which gateways in contact act on what they learned, in milliseconds. */
const CONTACT_MS = 3_000;

/** Crashes after which the time starts in which gateways have to stop. */
const CRASHES_BEFORE_STOP = 5;

/** Requests with a harmful part that may still reach upstreams after that time. */
const MAX_LATE_REQUESTS = 3;

const HARMFUL_PART = 'bad0bad0';

/** Response of one request of the load. */
interface LoadResult {
  isHarmful: boolean;
  sentAtMs: number;
  durationMs: number;
  response: RawResponse;
}

describe('a prompt part that ends each upstream that begins to answer it', () => {
  it('is kept from the upstreams after a few crashes, and what shares its other parts is served', async () => {
    const cluster = await createGatewayCluster(0);
    const upstreams = await startUpstreams(cluster);
    try {
      const gateways = await startConnectedGateways(cluster, 4);
      const endMs = performance.now() + 9_000;
      const results = await sendLoad(gateways, endMs);
      const fifthMs =
        upstreams.crashTimesMs()[CRASHES_BEFORE_STOP - 1] ?? Infinity;
      const late = upstreams
        .received()
        .filter(isHarmful)
        .filter(({receivedAtMs}) => receivedAtMs > fifthMs + CONTACT_MS);
      expect(late.length <= MAX_LATE_REQUESTS).toEqual(true);

      const lastSeconds = results.filter(
        ({sentAtMs}) => sentAtMs > endMs - 3_000,
      );
      const sound = lastSeconds.filter(result => !result.isHarmful);
      const served = sound.filter(({response}) => response.status === 200);
      expect(served.length / sound.length > 0.95).toEqual(true);

      const refused = lastSeconds.filter(result => result.isHarmful);
      expect(refused.length > 0).toEqual(true);
      for (const {response, durationMs} of refused) {
        expect(response.status).toEqual(503);
        expect(durationMs < 1_000).toEqual(true);
        expect(response.body).toInclude('harmfulPrompt');
      }
      const lines = gateways.flatMap(({logs}) => logs);
      expect(
        lines.some(
          line =>
            line.includes('event=prompt_part_quarantined') &&
            line.includes(HARMFUL_PART),
        ),
      ).toEqual(true);
    } finally {
      await upstreams.close();
    }
  });

  it('is found if the responses look complete, since they end with their connections', async () => {
    const cluster = await createGatewayCluster(0);
    const upstreams = await startUpstreams(cluster, true);
    try {
      const gateways = await startConnectedGateways(cluster, 2);
      await sendLoad(gateways, performance.now() + 5_000);
      for (const gateway of gateways) {
        const lines = gateway.logs.filter(line =>
          line.includes('event=prompt_part_quarantined'),
        );
        expect(lines.length).toEqual(1);
        expect(lines[0]).toInclude(HARMFUL_PART);
        expect(await gateway.scrape()).toInclude(
          'sardinestile_prompt_parts_quarantined 1',
        );
      }
    } finally {
      await upstreams.close();
    }
  });

  it('is still kept from the upstreams after all gateways were replaced', async () => {
    const cluster = await createGatewayCluster(0);
    const upstreams = await startUpstreams(cluster);
    try {
      const gateways = await startConnectedGateways(cluster, 2);
      await sendLoad(gateways, performance.now() + 4_000);
      await Promise.all(gateways.map(({handle}) => handle.close()));
      const crashes = upstreams.crashTimesMs().length;
      expect(crashes > 0).toEqual(true);
      const successor = await cluster.startGateway();
      const results = await sendLoad([successor], performance.now() + 2_000);
      const harmful = results.filter(result => result.isHarmful);
      expect(harmful.length > 0).toEqual(true);
      expect(harmful.every(({response}) => response.status === 503)).toEqual(
        true,
      );
      expect(upstreams.crashTimesMs().length).toEqual(crashes);
    } finally {
      await upstreams.close();
    }
  });
});

/** Starts upstreams that crash on the harmful part. */
function startUpstreams(
  cluster: GatewayCluster,
  isUnframed = false,
): Promise<CrashingUpstreams> {
  return startCrashingUpstreams(cluster, 5, request =>
    isHarmful(request)
      ? {kind: 'crash', afterMs: 60, isUnframed}
      : {kind: 'stream', events: 4, gapMs: 20},
  );
}

/** Sends sound requests, and harmful ones that share their key and first part, to all gateways. */
async function sendLoad(
  gateways: readonly TestGateway[],
  endMs: number,
): Promise<LoadResult[]> {
  const pending: Array<Promise<LoadResult>> = [];
  const send = async (
    isHarmful: boolean,
    number: number,
  ): Promise<LoadResult> => {
    const sentAtMs = performance.now();
    const middle = isHarmful ? HARMFUL_PART : `5a${number % 7}`;
    const response = await gateways[number % gateways.length].call({
      path: ROUTE_PATHS.stream,
      headers: createKeyedHeaders(`${isHarmful ? 'h' : 's'}${number}`, {
        Model: 'm',
        'Token-Counts': '170,40',
        'Prompt-Prefix': `aa:100,${middle}:50,${number.toString(16)}ff:20`,
      }),
    });
    const durationMs = performance.now() - sentAtMs;
    return {isHarmful, sentAtMs, durationMs, response};
  };
  for (let number = 0; performance.now() < endMs; number++) {
    pending.push(send(number % 3 === 2, number));
    await new Promise(resolve => setTimeout(resolve, 40));
  }
  return Promise.all(pending);
}

function isHarmful({
  headers,
}: {
  headers: Record<string, string | string[] | undefined>;
}): boolean {
  return String(headers['prompt-prefix']).includes(HARMFUL_PART);
}
