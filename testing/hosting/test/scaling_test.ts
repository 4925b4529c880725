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

/** Requests at once; more than half of the places of both upstreams. */
const LOAD = 14;

/** Time in which a holder of the duty makes two decisions, in milliseconds. */
const TWO_DECISIONS_MS = 5_000;

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('scaling of a service', () => {
  let world: HostedWorld;
  let fronts: HostedGateway[];
  before(async () => {
    world = await createHostedWorld(2);
    world.configure(config => {
      config.services[0].autoscale = {
        min_replicas: 1,
        max_replicas: 4,
        boot_s: 1,
      };
    });
    fronts = [await world.startGateway(), await world.startGateway()];
  });
  after(() => world.close());

  const orders = () =>
    world.duties.accepted.filter(({path}) => path === '/scale');
  const holds = ({logs}: HostedGateway) =>
    logs.findLast(line => line.includes('lease_'))?.includes('lease_acquired');
  const load = async (front: HostedGateway, name: string) => {
    for (const upstream of world.upstreams) {
      upstream.behave = () => ({kind: 'answer', delayMs: 3_500});
    }
    await Promise.all(
      Array.from({length: LOAD}, (_, index) =>
        front.call({path: PATHS.once, headers: keyed(`${name}-${index}`)}),
      ),
    );
  };

  it('orders nothing while there is enough', async () => {
    await waitFor('the duty to be held', () => fronts.some(holds));
    await pause(TWO_DECISIONS_MS);
    expect(orders()).toEqual([]);
  });

  it('orders more where demand needs them, also when it arrives elsewhere', async () => {
    const other = fronts.find(front => !holds(front))!;
    await load(other, 'more');
    const [order] = orders();
    expect(order.body.service).toEqual('pool');
    expect(order.body.zone).toEqual('a');
    expect(Number(order.body.desired) > 2).toEqual(true);
  });

  it('leaves the orders to one holder, each with a token of its own', async () => {
    const holder = fronts.find(holds)!;
    const other = fronts.find(front => front !== holder)!;
    holder.store.mode = 'silent';
    await waitFor('the other gateway to hold the duty', () => holds(other)!);
    await load(other, 'next');
    const holders = new Map<number, string>();
    for (const {fencingToken, holder: name} of orders()) {
      expect(holders.get(fencingToken) ?? name).toEqual(name);
      holders.set(fencingToken, name);
    }
    const tokens = orders().map(({fencingToken}) => fencingToken);
    expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
    expect(world.duties.fenced).toEqual([]);
    holder.store.mode = 'up';
  });
});
