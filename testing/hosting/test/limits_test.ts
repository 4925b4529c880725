import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createHostedWorld,
  keyed,
  PATHS,
  type HostedGateway,
  type HostedWorld,
} from '../src/index.js';

/** What the tests' deployment allows beyond a first send: a share of the calls, and a number for the whole fleet. */
const RETRY_RATIO = 0.2;
const RETRY_ALLOWANCE = 50;

/** Calls of one window; without a budget each would be sent twice. */
const CALLS = 200;

describe('limits that hold for the whole fleet', () => {
  let world: HostedWorld;
  const fronts: HostedGateway[] = [];
  before(async () => {
    world = await createHostedWorld(3);
    for (let i = 0; i < 2; i++) fronts.push(await world.startGateway());
  });
  after(() => world.close());

  const arrivals = () =>
    world.upstreams.reduce((sum, {received}) => sum + received.length, 0);

  it('second sends stay within the budget while every upstream fails', async () => {
    for (const upstream of world.upstreams) {
      upstream.behave = () => ({kind: 'reset'});
    }
    for (let call = 0; call < CALLS; call += 10) {
      await Promise.all(
        Array.from({length: 10}, (_, index) =>
          fronts[index % 2].call({
            path: PATHS.idempotent,
            headers: keyed(`b${call + index}`),
          }),
        ),
      );
    }
    const repeats = arrivals() - CALLS;
    expect(repeats > 0).toEqual(true);
    expect(repeats <= RETRY_RATIO * CALLS + RETRY_ALLOWANCE).toEqual(true);
  });

  it('an upstream that refuses counts as a send, too', async () => {
    for (const upstream of world.upstreams) {
      upstream.received.length = 0;
      upstream.behave = () => ({kind: 'refuse'});
    }
    for (let call = 0; call < CALLS; call++) {
      const headers = keyed(`n${call}`);
      await fronts[call % 2].call({path: PATHS.once, headers});
    }
    const repeats = arrivals() - CALLS;
    expect(repeats <= RETRY_RATIO * CALLS + RETRY_ALLOWANCE).toEqual(true);
  });
});
