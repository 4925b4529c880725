import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createMemoryBudget,
  heldBytesLimit,
  type MemoryBudget,
} from '../src/memory/memory_budget.js';

const LIMIT_BYTES = 1_000_000;

/** Opens an account with unread bytes that notes in `ended` when it is broken off. */
function openUnread(
  budget: ReturnType<typeof createMemoryBudget>,
  ended: string[],
  name: string,
  bytes: number,
) {
  const account = budget.open(() => ended.push(name));
  account.set('unreadResponse', bytes);
  return account;
}

describe('the limit of held bytes', () => {
  it('leaves room for the process within the limits of deployments', () => {
    for (const memoryMb of [202, 350, 602]) {
      const limitMb = heldBytesLimit(memoryMb) / 1_048_576;
      expect(limitMb >= 20).toEqual(true);
      expect(limitMb <= memoryMb - 120).toEqual(true);
    }
  });

  it('is positive for a process that its own need nearly fills', () => {
    expect(heldBytesLimit(100) > 0).toEqual(true);
  });

  it('does not exist without a limit of the memory', () => {
    expect(heldBytesLimit(undefined)).toEqual(Infinity);
  });
});

describe('a memory budget', () => {
  it('counts by purpose and in sum, and nothing after the accounts are closed', () => {
    const budget = createMemoryBudget(LIMIT_BYTES);
    const first = budget.open(() => undefined);
    const second = budget.open(() => undefined);
    first.set('requestBody', 500);
    first.set('requestBody', 300);
    second.set('requestBody', 20);
    second.set('unreadResponse', 7);
    expect(budget.heldByKind().requestBody).toEqual(320);
    expect(budget.heldBytes).toEqual(327);
    first.close();
    first.close();
    first.set('unreadResponse', 1_000);
    expect(budget.heldBytes).toEqual(27);
    second.close();
    expect(budget.heldBytes).toEqual(0);
  });

  describe('under pressure', () => {
    it('breaks no response off for bodies that have not arrived when the limit falls', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const ended: string[] = [];
      const body = budget.open(() => ended.push('body'));
      body.setMissing(700_000);
      body.set('requestBody', 700_000);
      budget.setLimit(700_000, LIMIT_BYTES);
      openUnread(budget, ended, 'response', 5_000);
      expect(ended).toEqual([]);
      expect(budget.step()).toEqual('refuseBodies');
      body.setMissing(0);
      expect(ended).toEqual(['response']);
    });

    it('takes the steps in order', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const account = budget.open(() => undefined);
      const steps = [400_000, 600_000, 800_000, 950_000].map(bytes => {
        account.set('requestBody', bytes);
        return budget.step();
      });
      expect(steps).toEqual([
        'none',
        'stopReading',
        'refuseBodies',
        'breakOff',
      ]);
    });

    it('stops reading responses that stay unread, not those of fast readers', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      expect(budget.shouldStopReading(100_000)).toEqual(false);
      budget.open(() => undefined).set('requestBody', 600_000);
      expect(budget.shouldStopReading(100_000)).toEqual(true);
      expect(budget.shouldStopReading(500)).toEqual(false);
    });

    it('refuses large bodies that do not fit, not small ones', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      budget.open(() => undefined).set('requestBody', 700_000);
      expect(budget.canTakeBody(100_000, 0)).toEqual(false);
      expect(budget.canTakeBody(100_000, 80_000)).toEqual(true);
      expect(budget.canTakeBody(10_000, 0)).toEqual(true);
    });

    it('breaks off the response with the most unread bytes, and no more than needed', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const ended: string[] = [];
      openUnread(budget, ended, 'small', 200_000);
      openUnread(budget, ended, 'large', 400_000);
      openUnread(budget, ended, 'last', 350_000);
      expect(ended).toEqual(['large']);
      expect(budget.heldBytes).toEqual(550_000);
    });

    it('breaks off the oldest of equal responses', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const ended: string[] = [];
      for (const name of ['first', 'second', 'third', 'fourth']) {
        openUnread(budget, ended, name, 300_000);
      }
      expect(ended).toEqual(['first']);
    });

    it('breaks off no small response for the sake of bodies', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const ended: string[] = [];
      openUnread(budget, ended, 'small', 100);
      budget.open(() => undefined).set('requestBody', 950_000);
      expect(ended).toEqual([]);
    });

    it('breaks off nothing if no response is unread', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      let hasEnded = false;
      const account = budget.open(() => (hasEnded = true));
      account.set('requestBody', 2_000_000);
      expect(hasEnded).toEqual(false);
    });
  });

  describe('for responses that are held until they are complete', () => {
    /** Opens three that are not read on, and lists those that may be, in order. */
    const openHolders = (budget: MemoryBudget) => {
      const resumed: number[] = [];
      const accounts = [0, 1, 2].map(() => budget.open(() => undefined));
      accounts.forEach(account => account.set('heldResponse', 300_000));
      accounts.forEach((account, i) =>
        account.onceMayHoldMore(() => resumed.push(i)),
      );
      return {accounts, resumed};
    };

    it('reads all of them while there is room', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const accounts = [1, 2].map(() => budget.open(() => undefined));
      accounts.forEach(account => account.set('heldResponse', 300_000));
      expect(accounts.map(account => account.mayHoldMore())).toEqual([
        true,
        true,
      ]);
    });

    it('reads them in their turn when memory is short, so that each completes', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const {accounts, resumed} = openHolders(budget);
      expect(accounts.map(account => account.mayHoldMore())).toEqual([
        true,
        false,
        false,
      ]);
      accounts[0].set('heldResponse', 0);
      expect(resumed).toEqual([1, 2]);
    });

    it('reads on the next one when the first is complete but still held', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      const {accounts, resumed} = openHolders(budget);
      budget.open(() => undefined).set('requestBody', 500_000);
      accounts[0].close();
      expect(resumed).toEqual([1]);
    });

    it('reads small ones in any case', () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      budget.open(() => undefined).set('requestBody', 900_000);
      const account = budget.open(() => undefined);
      account.set('heldResponse', 10_000);
      expect(account.mayHoldMore()).toEqual(true);
    });
  });

  it('never takes a step without a limit', () => {
    const budget = createMemoryBudget(Infinity);
    const ended: string[] = [];
    openUnread(budget, ended, 'only', 1e12);
    expect(ended).toEqual([]);
    expect(budget.step()).toEqual('none');
    expect(budget.shouldStopReading(1e9)).toEqual(false);
    expect(budget.canTakeBody(1e9, 0)).toEqual(true);
  });
});
