import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createAutoscaler, type DemandSample} from '../src/index.js';

const ZONES = ['a', 'b'].map(availabilityZone => ({
  availabilityZone,
  min: 1,
  max: 4,
}));

function sample(demandPlaces: number, lostZone?: string): DemandSample {
  const zones = ZONES.map(({availabilityZone}) => ({
    availabilityZone,
    servingUpstreams: 1,
    isLost: availabilityZone === lostZone,
  }));
  return {demandPlaces, zones};
}

function createTestAutoscaler() {
  return createAutoscaler({zones: ZONES, capacity: 10, startupMs: 60_000});
}

const countsOf = (targets: Array<{count: number}>) => targets.map(t => t.count);

describe('createAutoscaler', () => {
  it('keeps the minimum count without demand', () => {
    const autoscaler = createTestAutoscaler();
    expect(countsOf(autoscaler.observe(sample(0), 0))).toEqual([1, 1]);
  });

  it('starts upstreams for the demand that is expected when they serve', () => {
    const autoscaler = createTestAutoscaler();
    autoscaler.observe(sample(7), 0);
    const targets = autoscaler.observe(sample(14), 60_000);
    expect(countsOf(targets)).toEqual([2, 1]);
  });

  it('does not stop upstreams for a short dip', () => {
    const autoscaler = createTestAutoscaler();
    autoscaler.observe(sample(40), 0);
    expect(countsOf(autoscaler.observe(sample(1), 100_000))).toEqual([3, 3]);
    expect(countsOf(autoscaler.observe(sample(1), 301_000))).toEqual([1, 1]);
  });

  it('replaces the upstreams of a lost zone in the other zones', () => {
    const autoscaler = createTestAutoscaler();
    expect(countsOf(autoscaler.observe(sample(28, 'a'), 0))).toEqual([1, 4]);
  });

  it('does not exceed the limits of the zones', () => {
    const autoscaler = createTestAutoscaler();
    expect(countsOf(autoscaler.observe(sample(900), 0))).toEqual([4, 4]);
  });
});
