import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {expect} from 'earl';
import {createBodyAdmission} from '../src/memory/body_admission.js';
import {createMemoryBudget} from '../src/memory/memory_budget.js';

const LIMIT_BYTES = 4_000_000;
const BODY_BYTES = 1_000_000;
/** Room in the system for two bodies that wait. */
const MAX_WAITING_BYTES = 2 * 65_536;
const LONGEST_WAIT_MS = 1_000;

/** Creates an admission with three quarters of its budget for bodies. */
function createAdmission() {
  const budget = createMemoryBudget(LIMIT_BYTES);
  const admission = createBodyAdmission(budget, MAX_WAITING_BYTES);
  const decisions: string[] = [];
  const request = (name: string, bodyBytes = BODY_BYTES) => {
    const account = budget.open(() => undefined);
    const cancel = admission.request(account, {bodyBytes}, isAdmitted =>
      decisions.push(`${name} ${isAdmitted ? 'admitted' : 'refused'}`),
    );
    return {account, cancel};
  };
  return {budget, request, decisions};
}

describe('the admission of bodies', () => {
  beforeEach(() => mock.timers.enable({apis: ['setTimeout']}));
  afterEach(() => mock.timers.reset());

  it('holds no more than the limit if all bodies begin at once', () => {
    const {budget, request, decisions} = createAdmission();
    for (let i = 0; i < 100; i++) request(`${i}`);
    expect(budget.heldBytes).toEqual(3 * BODY_BYTES);
    expect(decisions.slice(0, 3)).toEqual([
      '0 admitted',
      '1 admitted',
      '2 admitted',
    ]);
  });

  it('counts the part that has not arrived as held, not as in the process', () => {
    const {budget, request} = createAdmission();
    const {account} = request('first');
    expect(budget.heldInProcessBytes).toEqual(0);
    account.setMissing(400_000);
    expect(budget.heldInProcessBytes).toEqual(600_000);
    expect(budget.heldBytes).toEqual(BODY_BYTES);
  });

  it('lets bodies wait for others, in order of arrival', () => {
    const {request, decisions} = createAdmission();
    const open = [request('a'), request('b'), request('c')];
    request('d');
    request('e', 20_000);
    expect(decisions.length).toEqual(3);
    open[0].account.close();
    expect(decisions.slice(3)).toEqual(['d admitted']);
    open[1].account.close();
    expect(decisions.slice(3)).toEqual(['d admitted', 'e admitted']);
  });

  it('lets waiting bodies in when the limit rises', () => {
    const {budget, request, decisions} = createAdmission();
    for (const name of ['a', 'b', 'c', 'd']) request(name);
    budget.setLimit(2 * LIMIT_BYTES, LIMIT_BYTES);
    expect(decisions.at(-1)).toEqual('d admitted');
  });

  it('refuses at once beyond the bound of those that wait', () => {
    const {request, decisions} = createAdmission();
    for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) request(name);
    expect(decisions.slice(3)).toEqual(['f refused']);
  });

  it('refuses after a bounded wait', () => {
    const {request, decisions} = createAdmission();
    for (const name of ['a', 'b', 'c', 'd']) request(name);
    mock.timers.tick(LONGEST_WAIT_MS);
    expect(decisions.slice(3)).toEqual(['d refused']);
  });

  it('refuses at once what would not fit if it was alone', () => {
    const {request, decisions} = createAdmission();
    request('a');
    request('large', LIMIT_BYTES);
    expect(decisions).toEqual(['a admitted', 'large refused']);
  });

  it('decides about no caller that has left', () => {
    const {request, decisions} = createAdmission();
    const open = request('a', 3 * BODY_BYTES);
    request('b').cancel();
    open.account.close();
    mock.timers.tick(LONGEST_WAIT_MS);
    expect(decisions).toEqual(['a admitted']);
  });
});
