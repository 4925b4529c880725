import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createUsageStoreRoute} from '../src/index.js';

const USAGE = {source: 's', windowId: '1', sums: new Map()};

describe('createUsageStoreRoute', () => {
  const setUp = (prefersPeer: boolean) => {
    const state = {nowMs: 0, calls: [] as string[], failing: new Set<string>()};
    const storeBy = (way: string) => async () => {
      state.calls.push(way);
      if (state.failing.has(way)) throw new Error(`${way} failed`);
    };
    const store = createUsageStoreRoute({
      storeOwn: storeBy('own'),
      storeAtPeer: storeBy('peer'),
      prefersPeer: () => prefersPeer,
      nowMs: () => state.nowMs,
    });
    return {state, store};
  };

  for (const prefersPeer of [false, true]) {
    const [preferred, other] = prefersPeer ? ['peer', 'own'] : ['own', 'peer'];

    it(`${preferred}: uses the other way at once when it fails, and first while it is failing`, async () => {
      const {state, store} = setUp(prefersPeer);
      await store(USAGE);
      state.failing.add(preferred);
      await store(USAGE);
      await store(USAGE);
      expect(state.calls).toEqual([preferred, preferred, other, other]);
    });

    it(`${preferred}: is tried again after a while`, async () => {
      const {state, store} = setUp(prefersPeer);
      state.failing.add(preferred);
      await store(USAGE);
      state.failing.clear();
      state.nowMs += 60_000;
      await store(USAGE);
      expect(state.calls.at(-1)).toEqual(preferred);
    });
  }

  it('rejects when both ways fail', async () => {
    const {state, store} = setUp(false);
    state.failing.add('own').add('peer');
    await expect(store(USAGE)).toBeRejectedWith('peer failed');
  });
});
