import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createHostedWorld,
  keyed,
  PATHS,
  waitFor,
  type HostedGateway,
  type HostedWorld,
} from '../src/index.js';

describe('usage of gateways', () => {
  let world: HostedWorld;
  let fronts: HostedGateway[];
  before(async () => {
    world = await createHostedWorld(2);
    fronts = [
      await world.startGateway(),
      await world.startGateway(),
      await world.startGateway(),
    ];
  });
  after(() => world.close());

  /** Sum of all reported requests; fails on two figures for one window. */
  const reported = () => {
    const counts = new Map<unknown, string>();
    let sum = 0;
    for (const {body} of world.duties.accepted) {
      const figures = body.counts as Record<string, number>;
      const text = JSON.stringify(figures);
      const known = counts.get(body.window_seq);
      if (known !== undefined) {
        expect(known).toEqual(text);
        continue;
      }
      counts.set(body.window_seq, text);
      sum += figures['org-one'] ?? 0;
    }
    return sum;
  };

  it('reports every request once, also of a gateway that the store turns away', async () => {
    let sent = 0;
    const send = async (front: HostedGateway) => {
      const headers = keyed(`u${sent}`);
      const {status} = await front.call({path: PATHS.idempotent, headers});
      expect(status).toEqual(200);
      sent++;
    };
    for (let round = 0; round < 10; round++) {
      for (const front of fronts) await send(front);
    }
    fronts[1].store.mode = 'busy';
    for (let round = 0; round < 10; round++) await send(fronts[1]);
    await waitFor(
      'all usage to be reported',
      () => reported() === sent,
      20_000,
    );
    expect(reported()).toEqual(sent);
    fronts[1].store.mode = 'up';
  });

  it('never lets two holders use one fencing token', () => {
    const holders = new Map<number, string>();
    for (const {fencingToken, holder} of world.duties.accepted) {
      const known = holders.get(fencingToken) ?? holder;
      expect(holder).toEqual(known);
      holders.set(fencingToken, holder);
    }
    expect(world.duties.fenced.length).toEqual(0);
  });
});

describe('the duty of reporting', () => {
  let world: HostedWorld;
  before(async () => {
    world = await createHostedWorld(1);
  });
  after(() => world.close());

  it('passes to a gateway that the store serves when it turns the first three away', async () => {
    const fronts: HostedGateway[] = [];
    for (let i = 0; i < 4; i++) fronts.push(await world.startGateway());
    const last = fronts[3];
    const call = (requestId: string) =>
      last.call({path: PATHS.idempotent, headers: keyed(requestId)});
    await call('d1');
    await waitFor('a first report', () => world.duties.accepted.length > 0);
    for (const front of fronts.slice(0, 3)) front.store.mode = 'busy';
    await waitFor(
      'the last gateway to hold the duty',
      () => last.logs.some(line => line.includes('lease_acquired')),
      20_000,
    );
    const before = world.duties.accepted.length;
    await call('d2');
    await waitFor(
      'a report of the last gateway',
      () => world.duties.accepted.length > before,
    );
  });
});
