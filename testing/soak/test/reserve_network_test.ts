import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reserveNetwork} from '../src/reserve_network.js';

describe('reserveNetwork', () => {
  it('gives soaks side by side networks of their own, also for seeds of one network', async () => {
    const first = await reserveNetwork(300);
    const second = await reserveNetwork(500);
    expect(first.network === second.network).toEqual(false);
    first.release();
    second.release();
  });
});
