import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {fairLevel} from '../src/index.js';

describe('fairLevel', () => {
  it('covers all demand if the capacity suffices', () => {
    expect(fairLevel([{demand: 3, weight: 1}], 3)).toEqual(Infinity);
  });

  it('gives what small demands leave to the others by weight', () => {
    const claims = [
      {demand: 1, weight: 1},
      {demand: 100, weight: 1},
      {demand: 100, weight: 2},
    ];
    expect(fairLevel(claims, 10)).toEqual(3);
  });

  it('adds up to the capacity whenever the demand exceeds it', () => {
    const claim = fc.record({
      demand: fc.double({min: 0, max: 100, noNaN: true}),
      weight: fc.double({min: 0.1, max: 10, noNaN: true}),
    });
    fc.assert(
      fc.property(
        fc.array(claim, {minLength: 1, maxLength: 20}),
        fc.double({min: 0, max: 0.99, noNaN: true}),
        (claims, part) => {
          const demand = claims.reduce((sum, claim) => sum + claim.demand, 0);
          const capacity = part * demand;
          const level = fairLevel(claims, capacity);
          const given = claims.reduce(
            (sum, {demand, weight}) => sum + Math.min(demand, weight * level),
            0,
          );
          expect(Math.abs(given - capacity) <= 1e-6 * (1 + demand)).toEqual(
            true,
          );
        },
      ),
    );
  });
});
