import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createMemoryBudget} from '../src/memory/memory_budget.js';
import {createResidentLimit} from '../src/memory/resident_limit.js';

const MB = 1_048_576;
const LIMIT_BYTES = 200 * MB;
const OWN_BYTES = 80 * MB;

/** Creates a limit for a process of which the test sets the memory beside what is held. */
function createProcess() {
  const budget = createMemoryBudget(40 * MB);
  const state = {ownBytes: OWN_BYTES, garbageBytes: 0, nowMs: 0};
  let isReadable = true;
  let collections = 0;
  const limit = createResidentLimit({
    memoryLimitBytes: LIMIT_BYTES,
    budget,
    readResidentBytes: () =>
      isReadable
        ? state.ownBytes + state.garbageBytes + budget.heldInProcessBytes
        : undefined,
    collectAll() {
      collections++;
      state.garbageBytes = 0;
    },
    nowMs: () => state.nowMs,
  });
  return {
    budget,
    limit,
    state,
    failReading: () => (isReadable = false),
    get collections() {
      return collections;
    },
  };
}

describe('the limit by the resident memory', () => {
  it('leaves what the process takes, and room for garbage', () => {
    const {budget, limit} = createProcess();
    limit.refresh();
    expect(budget.limitBytes).toBeGreaterThan(90 * MB);
    expect(budget.limitBytes).toBeLessThan(LIMIT_BYTES - OWN_BYTES);
  });

  it('does not change with what is held, be it in the process or not', () => {
    const {budget, limit} = createProcess();
    limit.refresh();
    const before = budget.limitBytes;
    const account = budget.open(() => undefined);
    account.set('requestBody', 30 * MB);
    account.setMissing(20 * MB);
    account.set('readAhead', MB);
    account.set('heldResponse', 5 * MB);
    limit.refresh();
    expect(budget.limitBytes).toEqual(before);
  });

  it('falls with the growth of the process, and rises again', () => {
    const {budget, limit, state} = createProcess();
    limit.refresh();
    const before = budget.limitBytes;
    state.ownBytes += 30 * MB;
    limit.refresh();
    expect(budget.limitBytes).toEqual(before - 30 * MB);
    state.ownBytes -= 30 * MB;
    limit.refresh();
    expect(budget.limitBytes).toEqual(before);
  });

  it('follows within a few megabytes read, without waiting for the next interval', () => {
    const {budget, limit, state} = createProcess();
    limit.refresh();
    const before = budget.limitBytes;
    state.ownBytes += 30 * MB;
    limit.recordRead(MB);
    expect(budget.limitBytes).toEqual(before);
    limit.recordRead(3 * MB);
    expect(budget.limitBytes).toEqual(before - 30 * MB);
  });

  it('remains positive for a process that its own need fills', () => {
    const {budget, limit, state} = createProcess();
    state.ownBytes = LIMIT_BYTES;
    limit.refresh();
    expect(budget.limitBytes).toBeGreaterThan(0);
  });

  it('stays while the resident memory cannot be read', () => {
    const process = createProcess();
    process.failReading();
    process.limit.refresh();
    expect(process.budget.limitBytes).toEqual(40 * MB);
    expect(process.budget.residentBytes).toEqual(undefined);
  });

  it('counts no garbage that can be collected when memory is short, at most once a second', () => {
    const process = createProcess();
    const {budget, limit, state} = process;
    limit.refresh();
    const before = budget.limitBytes;
    budget.open(() => undefined).set('requestBody', 0.7 * before);
    for (let i = 0; i < 10; i++) {
      state.nowMs += 200;
      state.garbageBytes += 20 * MB;
      limit.refresh();
    }
    expect(process.collections).toBeGreaterThan(0);
    expect(process.collections).toBeLessThanOrEqual(2);
  });

  it('collects nothing while memory is not short', () => {
    const process = createProcess();
    for (let i = 0; i < 20; i++) {
      process.state.nowMs += 100;
      process.state.garbageBytes += MB;
      process.limit.recordRead(4 * MB);
      process.limit.refresh();
    }
    expect(process.collections).toEqual(0);
  });

  it('collects nothing after loads by which the process has not grown', () => {
    const process = createProcess();
    for (let i = 0; i < 100; i++) {
      process.state.nowMs += 100;
      if (i % 20 === 0) process.limit.recordRead(20 * MB);
      process.limit.refresh();
    }
    expect(process.collections).toEqual(1);
  });

  it('collects what a load has left behind once after it', () => {
    const process = createProcess();
    process.limit.recordRead(100 * MB);
    for (let i = 0; i < 50; i++) {
      process.state.nowMs += 100;
      process.limit.refresh();
    }
    expect(process.collections).toEqual(1);
  });
});
