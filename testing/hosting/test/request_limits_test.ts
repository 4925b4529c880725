import {afterEach, beforeEach, describe, it} from 'node:test';
import type {UpstreamStandIn} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startConnectedGateways,
  type GatewayCluster,
  type RawResponse,
  type TestGateway,
} from '../src/index.js';

/** Time after which the limit binds, in milliseconds. */
const CONTACT_MS = 3_000;

/** Requests a second that the limited upstreams take. */
const LIMIT_PER_S = 1;

const WINDOW_MS = 4_000;

/** Most requests in a window: one and a half times the limit, and five. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1_000) + 5;

describe('upstreams that state how many requests they take from all gateways', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];
  let count = 0;
  beforeEach(async () => {
    cluster = await createGatewayCluster(2);
    gateways = await startConnectedGateways(cluster, 4);
  });
  afterEach(() => cluster.close());

  /** Sends requests to all gateways in turn. */
  const sendLoad = async (durationMs: number, gapMs: number) => {
    const pending: Array<Promise<RawResponse>> = [];
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      pending.push(
        gateways[count % gateways.length].call({
          path: count % 2 === 0 ? ROUTE_PATHS.idempotent : ROUTE_PATHS.once,
          headers: createKeyedHeaders(`r${count++}`),
        }),
      );
      await new Promise(resolve => setTimeout(resolve, gapMs));
    }
    return Promise.all(pending);
  };
  const limit = (upstream: UpstreamStandIn) => {
    upstream.extraHeaders = {'server-limit': String(LIMIT_PER_S)};
    return performance.now();
  };
  /** Most requests that an upstream got in a window since a time. */
  const mostInWindow = ({received}: UpstreamStandIn, sinceMs: number) => {
    const times = received
      .map(({receivedAtMs}) => receivedAtMs)
      .filter(atMs => atMs >= sinceMs);
    return Math.max(
      0,
      ...times.map(
        start => times.filter(t => t >= start && t < start + WINDOW_MS).length,
      ),
    );
  };

  it('get no more than that together, while another upstream takes the rest', async () => {
    const [limited] = cluster.upstreams;
    const limitedAtMs = limit(limited);
    const responses = await sendLoad(9_000, 25);
    expect(
      mostInWindow(limited, limitedAtMs + CONTACT_MS) <= MAX_IN_WINDOW,
    ).toEqual(true);
    expect(responses.every(({status}) => status === 200)).toEqual(true);
  });

  it('get no more than that together when all of them do, and callers are refused at once', async () => {
    const limitedAtMs = Math.max(...cluster.upstreams.map(limit));
    const responses = await sendLoad(9_000, 25);
    for (const upstream of cluster.upstreams) {
      const most = mostInWindow(upstream, limitedAtMs + CONTACT_MS);
      expect(most <= MAX_IN_WINDOW).toEqual(true);
      expect(most >= WINDOW_MS / 1_000 / 2).toEqual(true);
    }
    const refused = responses.filter(({status}) => status === 503);
    expect(refused.length > 0).toEqual(true);
    for (const {headers, body} of refused) {
      expect(body).toInclude('upstreamsLimited');
      expect(Number(headers['retry-after']) > 0).toEqual(true);
    }
  });
});
