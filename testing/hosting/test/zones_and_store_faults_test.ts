import {afterEach, beforeEach, describe, it} from 'node:test';
import type {UpstreamStandIn} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  ROUTE_PATHS,
  startConnectedGateways,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Number of gateways; two of them read the store, the third follows a peer. */
const GATEWAYS = 3;

/** Time after a restore until which operators write their changes again, in milliseconds. */
const REWRITE_TIME_MS = 2_500;

/** Time after a restore at which the test's operators write again, in milliseconds. */
const REWRITE_AFTER_MS = 1_800;

/** Time between two writes of an upstream's registration, in milliseconds. */
const HEARTBEAT_MS = 300;

const sleep = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

const ZONES = ['a', 'b'] as const;

describe('zones out of service', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];
  let inZone: UpstreamStandIn;
  let heartbeatTimer: NodeJS.Timeout;
  let sent = 0;
  beforeEach(async () => {
    cluster = await createGatewayCluster(0, {keyWithdrawalLimitMs: 10_000});
    const upstreams: UpstreamStandIn[] = [];
    for (const zone of ZONES) {
      upstreams.push(await cluster.addUpstream(`${zone}1`));
    }
    [inZone] = upstreams;
    const register = () =>
      upstreams.forEach((upstream, i) =>
        cluster.register(upstream, {zone: ZONES[i]}),
      );
    register();
    heartbeatTimer = setInterval(register, HEARTBEAT_MS);
    gateways = await startConnectedGateways(cluster, GATEWAYS);
    await waitUntil('a gateway to follow another one', () =>
      gateways.some(gateway => countOf(gateway, 'config_source_changed') > 0),
    );
  });
  afterEach(() => {
    clearInterval(heartbeatTimer);
    return cluster.close();
  });

  const countOf = ({logs}: TestGateway, event: string) =>
    logs.filter(line => line.includes(`event=${event} `)).length;
  const call = (gateway: TestGateway) =>
    gateway.call({
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders(`${gateway.instance}-${sent++}`),
    });
  /** Waits until all gateways have logged an event of the zone once more than now. */
  const afterEventOfAll = async (event: string, change: () => void) => {
    const counts = gateways.map(gateway => countOf(gateway, event));
    change();
    await waitUntil(`${event} at all gateways`, () =>
      gateways.every((gateway, i) => countOf(gateway, event) > counts[i]),
    );
  };
  const takeOut = () =>
    afterEventOfAll('zone_out_of_service', () =>
      cluster.setZoneOutOfService('a', true),
    );
  const takeBack = () =>
    afterEventOfAll('zone_in_service', () =>
      cluster.setZoneOutOfService('a', false),
    );
  /** Calls all gateways for a time; returns how many requests reached the zone. */
  const countInZoneFor = async (durationMs: number) => {
    const countBefore = inZone.received.length;
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      await Promise.all(gateways.map(call));
      await sleep(10);
    }
    return inZone.received.length - countBefore;
  };
  /** Makes the gateways miss a change, as the store has lost its history. */
  const loseHistoryWith = async (change: () => void) => {
    gateways.forEach(({store}) => (store.mode = 'busy'));
    await sleep(1_000);
    change();
    cluster.store.discardHistory();
    gateways.forEach(({store}) => (store.mode = 'up'));
  };

  describe('when the store is restored to before the row was written', () => {
    it('stay out until the operators have written it again, and after it', async () => {
      const copy = cluster.store.copy();
      await takeOut();
      cluster.store.restore(copy);
      expect(await countInZoneFor(REWRITE_AFTER_MS)).toEqual(0);
      cluster.setZoneOutOfService('a', true);
      expect(await countInZoneFor(2 * REWRITE_TIME_MS)).toEqual(0);
      for (const gateway of gateways) {
        expect(countOf(gateway, 'zone_in_service')).toEqual(0);
      }
    });

    it('return if nobody writes it again, and not sooner', async () => {
      const copy = cluster.store.copy();
      await takeOut();
      cluster.store.restore(copy);
      expect(await countInZoneFor(REWRITE_TIME_MS - 100)).toEqual(0);
      await waitUntil('all gateways to use the zone', () =>
        gateways.every(gateway => countOf(gateway, 'zone_in_service') === 1),
      );
      expect((await countInZoneFor(500)) > 0).toEqual(true);
    });

    it('are learnt from the peers by a gateway that starts then', async () => {
      const copy = cluster.store.copy();
      await takeOut();
      cluster.store.restore(copy);
      const started = await cluster.startGateway();
      gateways.push(started);
      await waitUntil(
        'the new gateway to learn of the zone',
        () => countOf(started, 'zone_out_of_service') > 0,
        REWRITE_AFTER_MS,
      );
      expect(await countInZoneFor(500)).toEqual(0);
      cluster.setZoneOutOfService('a', true);
      expect(await countInZoneFor(2 * REWRITE_TIME_MS)).toEqual(0);
    });

    it('stay out when a second restore loses the row again', async () => {
      const copy = cluster.store.copy();
      await takeOut();
      cluster.store.restore(copy);
      expect(await countInZoneFor(REWRITE_AFTER_MS)).toEqual(0);
      cluster.store.restore(copy);
      expect(await countInZoneFor(REWRITE_AFTER_MS)).toEqual(0);
      cluster.setZoneOutOfService('a', true);
      expect(await countInZoneFor(REWRITE_TIME_MS)).toEqual(0);
    });
  });

  describe('when the store is restored to before the row was deleted', () => {
    it('return when the operators delete it again', async () => {
      await takeOut();
      const copy = cluster.store.copy();
      await takeBack();
      cluster.store.restore(copy);
      await sleep(REWRITE_AFTER_MS);
      cluster.setZoneOutOfService('a', false);
      await waitUntil('all gateways to use the zone again', () =>
        gateways.every(({logs}) =>
          logs
            .findLast(line => line.includes('event=zone_'))
            ?.includes('zone_in_service'),
        ),
      );
      expect((await countInZoneFor(500)) > 0).toEqual(true);
      await sleep(REWRITE_TIME_MS);
      expect((await countInZoneFor(500)) > 0).toEqual(true);
    });
  });

  describe('when the store has lost its history', () => {
    it('stay out while the row is there', async () => {
      await takeOut();
      await loseHistoryWith(() => undefined);
      expect(await countInZoneFor(2 * REWRITE_TIME_MS)).toEqual(0);
    });

    it('are learnt from a complete read', async () => {
      await loseHistoryWith(() => cluster.setZoneOutOfService('a', true));
      await waitUntil('all gateways to take the zone out', () =>
        gateways.every(g => countOf(g, 'zone_out_of_service') === 1),
      );
      expect(await countInZoneFor(500)).toEqual(0);
    });

    it('return if the row was deleted meanwhile', async () => {
      await takeOut();
      await afterEventOfAll('zone_in_service', () => {
        void loseHistoryWith(() => cluster.setZoneOutOfService('a', false));
      });
      expect((await countInZoneFor(500)) > 0).toEqual(true);
    });
  });

  describe('when the store cannot be read', () => {
    it('stay out, also when the row is deleted meanwhile', async () => {
      await takeOut();
      gateways.forEach(({store}) => (store.mode = 'silent'));
      // Calls that the store has received before are still answered.
      await sleep(1_500);
      cluster.setZoneOutOfService('a', false);
      // Keyed requests are served for as long as the configuration is fresh.
      expect(await countInZoneFor(4_000)).toEqual(0);
    });
  });

  describe('with a row that is no JSON', () => {
    const writeInvalidRow = () =>
      cluster.store.putBytes('op', 'evacuate/a', Buffer.from('out, please'));

    it('stay in service, and one line names the row', async () => {
      writeInvalidRow();
      await waitUntil('a reader to log it', () =>
        gateways.some(gateway => countOf(gateway, 'zone_rejected') > 0),
      );
      await loseHistoryWith(() => undefined);
      expect((await countInZoneFor(2_000)) > 0).toEqual(true);
      const lines = gateways.map(({logs}) =>
        logs.filter(line => line.includes('event=zone_')),
      );
      expect(lines.every(({length}) => length <= 1)).toEqual(true);
      for (const line of lines.flat()) {
        expect(line).toInclude('zone_rejected row=evacuate/a');
      }
    });

    it('stay out of service if they were', async () => {
      await takeOut();
      writeInvalidRow();
      await loseHistoryWith(() => undefined);
      expect(await countInZoneFor(2 * REWRITE_TIME_MS)).toEqual(0);
    });
  });

  describe('with a row of a zone that has no upstream', () => {
    it('are logged once, and change nothing else', async () => {
      await afterEventOfAll('zone_unknown', () =>
        cluster.setZoneOutOfService('nowhere', true),
      );
      await loseHistoryWith(() => undefined);
      expect((await countInZoneFor(2_000)) > 0).toEqual(true);
      for (const gateway of gateways) {
        expect(countOf(gateway, 'zone_unknown')).toEqual(1);
        expect(countOf(gateway, 'zone_out_of_service')).toEqual(1);
      }
    });

    it('hold for upstreams that register there later', async () => {
      await afterEventOfAll('zone_unknown', () =>
        cluster.setZoneOutOfService('nowhere', true),
      );
      const late = await cluster.addUpstream('late', 'other-pool');
      cluster.register(late, {zone: 'nowhere'});
      await sleep(1_000);
      await countInZoneFor(1_000);
      expect(late.received.length).toEqual(0);
    });
  });
});
