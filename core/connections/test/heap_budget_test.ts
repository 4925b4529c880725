import type {IncomingMessage} from 'node:http';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createHeapBudget} from '../src/heap_budget.js';

/** Limit of the heap that deployments set, in bytes. */
const HEAP_LIMIT_BYTES = 100_663_296;

const MAX_DESCRIPTORS = 4_100;

function createRequest(fieldCount: number, fieldBytes: number) {
  const rawHeaders = Array.from({length: fieldCount}, () => [
    'n'.repeat(8),
    'v'.repeat(fieldBytes - 8),
  ]).flat();
  return {url: '/x', rawHeaders} as IncomingMessage;
}

const createUsualBudget = () =>
  createHeapBudget({
    heapLimitBytes: HEAP_LIMIT_BYTES,
    maxDescriptors: MAX_DESCRIPTORS,
  });

describe('a heap budget', () => {
  it('has room for a usual request on two thousand connections', () => {
    const budget = createUsualBudget();
    for (let count = 0; count < 2_000; count++) {
      budget.openConnection();
      budget.openRequest(createRequest(8, 64));
    }
    expect(budget.step()).toEqual('none');
  });

  it('has room for connections without requests up to the descriptors', () => {
    const budget = createUsualBudget();
    expect(budget.maxConnections > 3_700).toEqual(true);
    for (let count = 0; count < budget.maxConnections; count++) {
      budget.openConnection();
    }
    expect(budget.step()).toEqual('none');
  });

  it('refuses requests once their headers exceed the limit', () => {
    const budget = createUsualBudget();
    let count = 0;
    while (budget.step() === 'none') {
      budget.openConnection();
      budget.openRequest(createRequest(13, 1_024));
      count++;
    }
    expect(budget.step()).toEqual('refuseRequests');
    expect(count > 1_000).toEqual(true);
    expect(count < 2_000).toEqual(true);
  });

  it('counts many short fields as more than few long ones', () => {
    const few = createUsualBudget();
    const many = createUsualBudget();
    few.openRequest(createRequest(8, 1_024));
    many.openRequest(createRequest(512, 16));
    expect(many.heldBytes > 3 * few.heldBytes).toEqual(true);
  });

  it('holds nothing once all was given back, twice or once', () => {
    const budget = createUsualBudget();
    const closeConnection = budget.openConnection();
    const closeRequest = budget.openRequest(createRequest(8, 64));
    budget.setPartialBytes(1_000);
    closeRequest();
    closeRequest();
    closeConnection();
    budget.setPartialBytes(0);
    expect(budget.heldBytes).toEqual(0);
  });

  it('refuses connections while the heap is full, until it has room again', () => {
    const budget = createUsualBudget();
    budget.recordUsedBytes(0.95 * HEAP_LIMIT_BYTES);
    expect(budget.step()).toEqual('refuseConnections');
    budget.recordUsedBytes(0.9 * HEAP_LIMIT_BYTES);
    expect(budget.step()).toEqual('refuseConnections');
    budget.recordUsedBytes(0.8 * HEAP_LIMIT_BYTES);
    expect(budget.step()).toEqual('none');
  });

  it('limits the connections of a heap that is too small for the descriptors', () => {
    const budget = createHeapBudget({
      heapLimitBytes: 41_943_040,
      maxDescriptors: MAX_DESCRIPTORS,
    });
    expect(budget.maxConnections > 0).toEqual(true);
    expect(budget.maxConnections < 3_700).toEqual(true);
  });

  it('leaves callers half of the descriptors where there are few', () => {
    const budget = createHeapBudget({
      heapLimitBytes: 100_663_296,
      maxDescriptors: 120,
    });
    expect(budget.maxConnections).toEqual(60);
  });

  it('leaves less to callers of a process that takes more itself', () => {
    const usual = createUsualBudget();
    const large = createHeapBudget({
      heapLimitBytes: HEAP_LIMIT_BYTES,
      processBytes: 37_748_736,
    });
    expect(large.limitBytes).toEqual(usual.limitBytes - 12_582_912);
  });

  it('counts requests with what their process takes for each', () => {
    const budget = createHeapBudget({
      heapLimitBytes: HEAP_LIMIT_BYTES,
      requestBytes: 36_864,
    });
    const usual = createUsualBudget();
    budget.openRequest(createRequest(8, 64));
    usual.openRequest(createRequest(8, 64));
    expect(budget.heldBytes).toEqual(usual.heldBytes + 24_576);
  });

  it('has no limit of connections without limits', () => {
    const budget = createHeapBudget({heapLimitBytes: Infinity});
    expect(budget.maxConnections).toEqual(Infinity);
  });
});
