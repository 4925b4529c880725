import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  waitUntil,
  type TestGateway,
  type GatewayCluster,
} from '../src/index.js';

/** Types of the metric families that the operations page documents. */
const FAMILIES = {
  sardinestile_calls_total: 'counter',
  sardinestile_call_seconds: 'histogram',
  sardinestile_attempts_total: 'counter',
  sardinestile_repeats_total: 'counter',
  sardinestile_repeats_left: 'gauge',
  sardinestile_refusals_total: 'counter',
  sardinestile_refusals_by_organisation_total: 'counter',
  sardinestile_first_event_seconds: 'histogram',
  sardinestile_event_gap_seconds: 'histogram',
  sardinestile_stream_longest_pause_seconds: 'histogram',
  sardinestile_stream_longest_wait_seconds: 'histogram',
  sardinestile_held_seconds: 'histogram',
  sardinestile_expected_wait_seconds: 'histogram',
  sardinestile_upstream_connections_total: 'counter',
  sardinestile_connections_open: 'gauge',
  sardinestile_config_age_seconds: 'gauge',
  sardinestile_config_version: 'gauge',
  sardinestile_upstreams_age_seconds: 'gauge',
  sardinestile_load_view_age_seconds: 'gauge',
  sardinestile_peers: 'gauge',
  sardinestile_upstreams_of_group: 'gauge',
  sardinestile_upstreams_shared_by_groups: 'gauge',
  sardinestile_duty_held_by_some: 'gauge',
  sardinestile_duty_token: 'gauge',
};

describe('metrics of a gateway', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  it('include every family that the operations page documents', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) =>
        url === ROUTE_PATHS.stream
          ? {kind: 'stream', events: 3, gapMs: 20}
          : {kind: 'reset'};
    }
    for (const path of [
      ROUTE_PATHS.idempotent,
      ROUTE_PATHS.stream,
      '/nowhere/',
    ]) {
      await gateway.call({path, headers: createKeyedHeaders(`m${path}`)});
    }
    await waitUntil('the gateway to hold the lease', async () =>
      (await gateway.scrape()).includes('sardinestile_duty_token 1'),
    );
    const text = await gateway.scrape();
    for (const [name, type] of Object.entries(FAMILIES)) {
      expect(
        text.includes(`# TYPE ${name} ${type}`) ? name : 'missing',
      ).toEqual(name);
    }
  });

  it('count a complete stream as served and an interrupted one as brokenOff', async () => {
    const count = async (outcome: string) => {
      const pattern = new RegExp(
        `^sardinestile_calls_total{route="stream",.*outcome="${outcome}"} (\\d+)$`,
        'm',
      );
      return Number(pattern.exec(await gateway.scrape())?.[1] ?? 0);
    };
    const servedBefore = await count('served');
    const brokenBefore = await count('brokenOff');
    for (const breakAfter of [undefined, 1]) {
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = () => ({
          kind: 'stream',
          events: 4,
          breakAfter,
        });
      }
      const headers = createKeyedHeaders(`t${breakAfter}`);
      await gateway.call({path: ROUTE_PATHS.stream, headers});
    }
    await waitUntil(
      'the interrupted stream to be counted',
      async () => (await count('brokenOff')) > brokenBefore,
    );
    expect(await count('served')).toEqual(servedBefore + 1);
    expect(await count('brokenOff')).toEqual(brokenBefore + 1);
  });

  it('count each call once, by outcome and organisation', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({
        kind: 'answer',
        status: 200,
        body: 'x',
      });
    }
    const counted = async () =>
      Number(
        /^sardinestile_calls_total\{route="open",organisation="",outcome="served"\} (\d+)$/m.exec(
          await gateway.scrape(),
        )?.[1] ?? 0,
      );
    const before = await counted();
    await gateway.call({
      path: ROUTE_PATHS.open,
      headers: {'Request-Id': 'm-open'},
    });
    expect(await counted()).toEqual(before + 1);
  });
});
