import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createScalingPlanner} from '../src/index.js';

const START_MS = 4_000;

function createTestOrders() {
  const zones = ['a', 'b'].map(availabilityZone => ({
    availabilityZone,
    min: 1,
    max: 4,
  }));
  return createScalingPlanner({zones, capacity: 10, startupMs: START_MS});
}

function createSample(
  demandPlaces: number,
  servingA: number,
  servingB: number,
) {
  return {
    demandPlaces,
    zones: [
      {availabilityZone: 'a', servingUpstreams: servingA, isLost: false},
      {availabilityZone: 'b', servingUpstreams: servingB, isLost: false},
    ],
  };
}

describe('createScalingOrders', () => {
  it('orders nothing after taking over a service that has enough upstreams', () => {
    const orders = createTestOrders();
    expect(orders.planOrders(createSample(3, 2, 2), 0)).toEqual([]);
    expect(orders.planOrders(createSample(3, 2, 2), 60_000)).toEqual([]);
  });

  it('orders the upstreams that the demand needs only once', () => {
    const orders = createTestOrders();
    expect(orders.planOrders(createSample(20, 1, 1), 0)).toEqual([
      {availabilityZone: 'a', count: 2},
    ]);
    expect(orders.planOrders(createSample(20, 1, 1), 1_000)).toEqual([]);
    expect(orders.planOrders(createSample(20, 2, 1), 10_000)).toEqual([]);
  });

  it('repeats an order that had no effect in time', () => {
    const orders = createTestOrders();
    orders.planOrders(createSample(20, 1, 1), 0);
    expect(orders.planOrders(createSample(20, 1, 1), START_MS + 4_999)).toEqual(
      [],
    );
    expect(orders.planOrders(createSample(20, 1, 1), START_MS + 5_000)).toEqual(
      [{availabilityZone: 'a', count: 2}],
    );
  });

  it('orders fewer upstreams after a period of low demand', () => {
    const orders = createTestOrders();
    expect(orders.planOrders(createSample(1, 3, 3), 0)).toEqual([]);
    expect(orders.planOrders(createSample(1, 3, 3), 299_000)).toEqual([]);
    expect(orders.planOrders(createSample(1, 3, 3), 301_000)).toEqual([
      {availabilityZone: 'a', count: 1},
      {availabilityZone: 'b', count: 1},
    ]);
  });
});
