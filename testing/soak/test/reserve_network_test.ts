import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reserveNetwork} from '../src/reserve_network.js';

describe('reserveNetwork', () => {
  it('reserves different networks for concurrent soaks whose seeds map to the same one', async () => {
    const first = await reserveNetwork(300);
    const second = await reserveNetwork(500);
    expect(first.network === second.network).toEqual(false);
    first.release();
    second.release();
  });
});
