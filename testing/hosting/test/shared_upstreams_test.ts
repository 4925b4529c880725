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

/** More than the gateways of a group that read the store. */
const GATEWAYS = 6;

/** Time in which the world's gateways must know of a leaving upstream, in milliseconds. */
const DRAIN_LIMIT_MS = 2_000;

/** Name of the gateway whose copy of the upstreams is followed; undefined for the store. */
function sourceOf({logs}: HostedGateway): string | undefined {
  const line = logs.findLast(text => text.includes('upstreams_source_changed'));
  return line && /peer=(\S+)/.exec(line)?.[1];
}

describe('upstreams that gateways share', () => {
  let world: HostedWorld;
  const fronts: HostedGateway[] = [];
  let isFirstLeaving = false;
  let heartbeats: NodeJS.Timeout;
  before(async () => {
    world = await createHostedWorld(2);
    heartbeats = setInterval(() => {
      const [first] = world.upstreams;
      world.register(first, {state: isFirstLeaving ? 'draining' : 'ready'});
    }, 300);
    for (let i = 0; i < GATEWAYS; i++) fronts.push(await world.startGateway());
    await waitFor(
      'two gateways to follow the copy of another one',
      () => fronts.filter(front => sourceOf(front)).length === GATEWAYS - 4,
    );
  });
  after(() => {
    clearInterval(heartbeats);
    return world.close();
  });

  it('come to every gateway in time, and leave in time', async () => {
    const added = await world.addUpstream('u3');
    const callAll = async (name: string) => {
      for (const [index, front] of fronts.entries()) {
        const headers = keyed(`${name}-${index}`);
        await front.call({path: PATHS.idempotent, headers});
      }
    };
    const [, second] = world.upstreams;
    world.register(second, {state: 'draining'});
    isFirstLeaving = true;
    let round = 0;
    await waitFor('every gateway to use the new upstream alone', async () => {
      const before = added.received.length;
      await callAll(`n${round++}`);
      return added.received.length === before + GATEWAYS;
    });
    isFirstLeaving = false;
    world.register(added, {state: 'draining'});
    await new Promise(resolve => setTimeout(resolve, DRAIN_LIMIT_MS));
    const servedBefore = added.received.length;
    for (let again = 0; again < 5; again++) await callAll(`l${again}`);
    expect(added.received.length).toEqual(servedBefore);
  });

  it('are read from the store once the gateway with the copy is gone or turned away', async () => {
    const follower = fronts.find(sourceOf)!;
    const name = sourceOf(follower);
    const reader = fronts.find(({instance}) => instance === name)!;
    reader.store.mode = 'busy';
    await waitFor(
      'the follower to read from elsewhere',
      () => sourceOf(follower) !== name,
    );
    const added = await world.addUpstream('u4');
    let call = 0;
    await waitFor('the follower to use the new upstream', async () => {
      const headers = keyed(`f${call++}`);
      await follower.call({path: PATHS.idempotent, headers});
      return added.received.length > 0;
    });
    reader.store.mode = 'up';
  });
});
