import {describe, it} from 'node:test';
import {expect} from 'earl';
import {bodyBytesLimit, createBodyBudget} from '../src/body_budget.js';

const MB = 1_048_576;
const LIMIT_BYTES = 10 * MB;

describe('bodyBytesLimit', () => {
  it('leaves the process and its heap', () => {
    const bytes = bodyBytesLimit(350 * MB, 90 * MB);
    expect(2 * bytes).toBeLessThanOrEqual((350 - 90) * MB);
    expect(bytes).toBeGreaterThan(8 * MB);
  });

  it('leaves room for a body where process and heap take everything', () =>
    expect(bodyBytesLimit(100 * MB, 4_000 * MB)).toEqual(8 * MB));
});

describe('a budget of bodies', () => {
  it('refuses a body beyond its limit, and takes it once another was given back', () => {
    const budget = createBodyBudget(LIMIT_BYTES);
    const first = budget.open();
    expect(first.tryResize(6 * MB)).toEqual(true);
    const second = budget.open();
    expect(second.tryResize(6 * MB)).toEqual(false);
    expect(budget.heldBytes).toEqual(6 * MB);
    first.close();
    first.close();
    expect(second.tryResize(6 * MB)).toEqual(true);
    expect(budget.heldBytes).toEqual(6 * MB);
  });

  it('counts the growth of a body only', () => {
    const budget = createBodyBudget(LIMIT_BYTES);
    const account = budget.open();
    account.tryResize(6 * MB);
    expect(account.tryResize(LIMIT_BYTES)).toEqual(true);
    expect(account.tryResize(LIMIT_BYTES + 1)).toEqual(false);
    expect(budget.heldBytes).toEqual(LIMIT_BYTES);
  });

  it('takes small bodies beside large ones', () => {
    const budget = createBodyBudget(LIMIT_BYTES);
    budget.open().tryResize(LIMIT_BYTES);
    expect(budget.open().tryResize(1_000)).toEqual(true);
  });
});
