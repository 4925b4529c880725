import {describe, it} from 'node:test';
import type {
  ReceivedRequest,
  UpstreamBehaviour,
} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startConnectedGateways,
  startCrashingUpstreams,
  waitUntil,
  type CrashingUpstreams,
  type RawResponse,
  type TestGateway,
} from '../src/index.js';

/** Time within which gateways in contact act on what they learned, in milliseconds. */
const CONTACT_MS = 3_000;

/** Crashes after which the time starts in which gateways have to stop. */
const CRASHES_BEFORE_STOP = 3;

/** Arrivals of a harmful request after that time. */
const MAX_LATE_REQUESTS = 3;

/** Delay before a caller sends a request again, in milliseconds. */
const RETURN_DELAY_MS = 120;

/** A request that ends each upstream that runs it; its callers send it again and again. */
interface HarmfulRequest {
  path: string;
  body: string;
  isKeyless?: boolean;
  behaviour: Extract<UpstreamBehaviour, {kind: 'crash'}>;
}

const LOOKUP: HarmfulRequest = {
  path: ROUTE_PATHS.idempotent,
  body: 'bad lookup',
  behaviour: {kind: 'crash', afterMs: 50, isUnanswered: true},
};

const HARMFUL_REQUESTS: ReadonlyArray<[string, HarmfulRequest]> = [
  ['that may be repeated', LOOKUP],
  ['that may run once', {...LOOKUP, path: ROUTE_PATHS.once}],
  ['without a key', {...LOOKUP, path: ROUTE_PATHS.open, isKeyless: true}],
  ['with a large body', {...LOOKUP, body: 'bad '.repeat(24_000)}],
  [
    'whose stream has begun',
    {
      path: ROUTE_PATHS.resumable,
      body: 'bad stream',
      behaviour: {kind: 'crash', afterMs: 50, isUnframed: true},
    },
  ],
  [
    'without a body',
    {...LOOKUP, path: `${ROUTE_PATHS.idempotent}bad`, body: ''},
  ],
];

/** Response of one request of the load. */
interface LoadResult {
  isHarmful: boolean;
  sentAtMs: number;
  durationMs: number;
  response: RawResponse;
}

describe('a request that ends each upstream that runs it', () => {
  for (const [name, harmful] of HARMFUL_REQUESTS) {
    it(`reaches upstreams at most three times after three crashes: one ${name}`, async () => {
      const {upstreams, gateways} = await startFleet([harmful], 4);
      try {
        const endMs = performance.now() + 8_000;
        const results = await sendLoad(gateways, [harmful], endMs);
        const crashes = upstreams.crashTimesMs().length;
        expect(crashes >= CRASHES_BEFORE_STOP).toEqual(true);
        expectFewLateArrivals(upstreams, harmful);
        const last = results.filter(({sentAtMs}) => sentAtMs > endMs - 2_500);
        expectServed(last.filter(result => !result.isHarmful));
        expectRefused(last.filter(result => result.isHarmful));
        const lines = gateways.flatMap(({logs}) => logs);
        const quarantines = lines.filter(line =>
          line.includes('event=request_quarantined'),
        );
        expect(quarantines.length).toEqual(gateways.length);
      } finally {
        await upstreams.close();
      }
    });
  }

  it('is sent once by a gateway that knows of two crashes under it', async () => {
    const {upstreams, gateways} = await startFleet([LOOKUP], 1);
    const send = (id: string) =>
      gateways[0].call({
        method: 'POST',
        path: LOOKUP.path,
        headers: createKeyedHeaders(id),
        body: LOOKUP.body,
      });
    try {
      await send('first');
      expect(upstreams.received().length).toEqual(2);
      await waitUntil('both crashes to be noticed', () => {
        const {logs} = gateways[0];
        const crashes = logs.filter(line => line.includes('upstream_crashed'));
        return crashes.length === 2;
      });
      const response = await send('second');
      expect(response.status).toEqual(502);
      expect(upstreams.received().length).toEqual(3);
    } finally {
      await upstreams.close();
    }
  });

  it('is found beside another one', async () => {
    const other = {...LOOKUP, body: 'another bad lookup'};
    const {upstreams, gateways} = await startFleet([LOOKUP, other], 4);
    try {
      const endMs = performance.now() + 9_000;
      const results = await sendLoad(gateways, [LOOKUP, other], endMs);
      expectFewLateArrivals(upstreams, LOOKUP);
      expectFewLateArrivals(upstreams, other);
      const last = results.filter(({sentAtMs}) => sentAtMs > endMs - 2_500);
      expectServed(last.filter(result => !result.isHarmful));
      expectRefused(last.filter(result => result.isHarmful));
    } finally {
      await upstreams.close();
    }
  });

  it('is still kept from the upstreams after all gateways were replaced', async () => {
    const {cluster, upstreams, gateways} = await startFleet([LOOKUP], 2);
    try {
      await sendLoad(gateways, [LOOKUP], performance.now() + 4_000);
      await Promise.all(gateways.map(({handle}) => handle.close()));
      const crashes = upstreams.crashTimesMs().length;
      expect(crashes > 0).toEqual(true);
      const successor = await cluster.startGateway();
      const endMs = performance.now() + 2_000;
      const results = await sendLoad([successor], [LOOKUP], endMs);
      expectRefused(results.filter(result => result.isHarmful));
      expect(upstreams.crashTimesMs().length).toEqual(crashes);
    } finally {
      await upstreams.close();
    }
  });
});

/** Starts upstreams that crash on the harmful requests, and gateways. */
async function startFleet(
  harmful: readonly HarmfulRequest[],
  gatewayCount: number,
) {
  const cluster = await createGatewayCluster(0);
  const upstreams = await startCrashingUpstreams(
    cluster,
    4,
    request =>
      harmful.find(bad => isSameRequest(request, bad))?.behaviour ??
      (request.url === ROUTE_PATHS.resumable
        ? {kind: 'stream', events: 4, gapMs: 20}
        : {kind: 'answer', delayMs: 30}),
  );
  const gateways = await startConnectedGateways(cluster, gatewayCount);
  return {cluster, upstreams, gateways};
}

function isSameRequest(
  {url, body}: ReceivedRequest,
  {path, body: badBody}: HarmfulRequest,
): boolean {
  return url === path && body.toString() === badBody;
}

/**
 * Sends sound requests, which share their path, caller or body with the harmful
 * ones, a popular lookup without a body, and the harmful requests; each that gets no
 * answer is sent once more, at the next gateway.
 */
async function sendLoad(
  gateways: readonly TestGateway[],
  harmful: readonly HarmfulRequest[],
  endMs: number,
): Promise<LoadResult[]> {
  const [{path, body}] = harmful;
  const sound: ReadonlyArray<(number: number) => {path: string; body: string}> =
    [
      number => ({path: path.replace('bad', ''), body: `sound ${number}`}),
      () => ({path: `${ROUTE_PATHS.idempotent}popular`, body: ''}),
      number => ({path: `${ROUTE_PATHS.open}${number}`, body}),
    ];
  const pending: Array<Promise<LoadResult>> = [];
  const send = async (number: number): Promise<LoadResult> => {
    const bad =
      number % 6 === 5
        ? harmful[Math.floor(number / 6) % harmful.length]
        : undefined;
    const request = bad ?? sound[number % sound.length](number);
    const sentAtMs = performance.now();
    const sendOnce = (attempt: number) => {
      const id = `${bad ? 'h' : 's'}${number}-${attempt}`;
      const {Authorization, ...keyless} = createKeyedHeaders(id);
      const isKeyless = bad?.isKeyless ?? false;
      return gateways[(number + attempt) % gateways.length].call({
        method: 'POST',
        path: request.path,
        headers: isKeyless ? keyless : {...keyless, Authorization},
        body: request.body,
      });
    };
    let response = await sendOnce(0);
    const durationMs = performance.now() - sentAtMs;
    if (response.status !== 200 || !response.isComplete) {
      await new Promise(resolve => setTimeout(resolve, RETURN_DELAY_MS));
      response = await sendOnce(1);
    }
    return {isHarmful: bad !== undefined, sentAtMs, durationMs, response};
  };
  for (let number = 0; performance.now() < endMs; number++) {
    pending.push(send(number));
    await new Promise(resolve => setTimeout(resolve, 30));
  }
  return Promise.all(pending);
}

function expectFewLateArrivals(
  upstreams: CrashingUpstreams,
  harmful: HarmfulRequest,
): void {
  const crashTimesMs = upstreams.all
    .filter(({crashedBy}) => crashedBy && isSameRequest(crashedBy, harmful))
    .map(({crashedAtMs}) => crashedAtMs!)
    .sort((a, b) => a - b);
  const thirdMs = crashTimesMs[CRASHES_BEFORE_STOP - 1] ?? Infinity;
  const late = upstreams
    .received()
    .filter(request => isSameRequest(request, harmful))
    .filter(({receivedAtMs}) => receivedAtMs > thirdMs + CONTACT_MS);
  expect(late.length <= MAX_LATE_REQUESTS).toEqual(true);
}

function expectServed(results: readonly LoadResult[]): void {
  const served = results.filter(({response}) => response.status === 200);
  expect(results.length > 0).toEqual(true);
  expect(served.length / results.length > 0.95).toEqual(true);
}

/** Expects that each was refused at once, as not run, for what it is. */
function expectRefused(results: readonly LoadResult[]): void {
  expect(results.length > 0).toEqual(true);
  for (const {response, durationMs} of results) {
    expect(response.status).toEqual(503);
    expect(response.body).toInclude('harmfulRequest');
    expect(durationMs < 1_000).toEqual(true);
  }
}
