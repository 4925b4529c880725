import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createHostedWorld,
  keyed,
  PATHS,
  waitFor,
  type TestGateway,
  type HostedWorld,
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
  sardinestile_held_seconds: 'histogram',
  sardinestile_expected_wait_seconds: 'histogram',
  sardinestile_upstream_connections_total: 'counter',
  sardinestile_connections_open: 'gauge',
  sardinestile_config_age_seconds: 'gauge',
  sardinestile_config_version: 'gauge',
  sardinestile_upstreams_age_seconds: 'gauge',
  sardinestile_load_view_age_seconds: 'gauge',
  sardinestile_peers: 'gauge',
  sardinestile_duty_held_by_some: 'gauge',
  sardinestile_duty_token: 'gauge',
};

describe('metrics of a gateway', () => {
  let cluster: HostedWorld;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createHostedWorld(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  it('include every family that the operations page documents', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.behave = ({url}) =>
        url === PATHS.stream
          ? {kind: 'stream', events: 3, gapMs: 20}
          : {kind: 'reset'};
    }
    for (const path of [PATHS.idempotent, PATHS.stream, '/nowhere/']) {
      await gateway.call({path, headers: keyed(`m${path}`)});
    }
    await waitFor('the gateway to hold the lease', async () =>
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
        upstream.behave = () => ({kind: 'stream', events: 4, breakAfter});
      }
      const headers = keyed(`t${breakAfter}`);
      await gateway.call({path: PATHS.stream, headers});
    }
    await waitFor(
      'the interrupted stream to be counted',
      async () => (await count('brokenOff')) > brokenBefore,
    );
    expect(await count('served')).toEqual(servedBefore + 1);
    expect(await count('brokenOff')).toEqual(brokenBefore + 1);
  });

  it('count each call once, by outcome and organisation', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.behave = () => ({kind: 'answer', status: 200, body: 'x'});
    }
    const counted = async () =>
      Number(
        /^sardinestile_calls_total\{route="open",organisation="",outcome="served"\} (\d+)$/m.exec(
          await gateway.scrape(),
        )?.[1] ?? 0,
      );
    const before = await counted();
    await gateway.call({path: PATHS.open, headers: {'Request-Id': 'm-open'}});
    expect(await counted()).toEqual(before + 1);
  });
});
