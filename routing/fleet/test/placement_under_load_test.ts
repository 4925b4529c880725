import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  placeAdmitted,
  placeByFleet,
  placeLeastLoaded,
  simulateLoad,
  type LoadKind,
  type PlacementPolicy,
} from './virtual_engines.js';

const ENGINES = 8;
/** Minimum share of requests that meet their targets (docs/CAPACITY.md). */
const ON_TIME_SHARE = 0.95;

const SEEDS = [1, 2, 3];

const LONG: LoadKind = {
  name: 'long',
  requestsPerSecond: 12,
  sharedTokens: 6_300,
  prefixCount: 60,
  ownTokens: 2_900,
  events: 13,
  targetLatencyMs: 600,
  targetGapMs: 250,
  urgency: 1,
};

const SHORT: LoadKind = {
  name: 'short',
  requestsPerSecond: 30,
  sharedTokens: 200,
  prefixCount: 100,
  ownTokens: 630,
  events: 70,
  targetLatencyMs: 250,
  targetGapMs: 120,
  urgency: 0,
};

/**
 * Returns the share of requests that met their targets by kind, and the
 * recomputed tokens, over all seeds.
 */
function simulate(kinds: readonly LoadKind[], place: PlacementPolicy) {
  const totals = new Map<
    string,
    {sent: number; onTime: number; recomputed: number}
  >();
  for (const seed of SEEDS) {
    for (const [name, served] of simulateLoad(kinds, ENGINES, place, seed)) {
      const total = totals.get(name) ?? {sent: 0, onTime: 0, recomputed: 0};
      total.sent += served.sent;
      total.onTime += served.onTime;
      total.recomputed += served.recomputedTokens;
      totals.set(name, total);
    }
  }
  const share = (name: string) => {
    const {sent, onTime} = totals.get(name)!;
    return onTime / sent;
  };
  const recomputed = [...totals.values()].reduce(
    (sum, t) => sum + t.recomputed,
    0,
  );
  return {long: share('long'), short: share('short'), recomputed};
}

describe('placeRequest under load', () => {
  describe('with long prompts and streams with short target gaps', () => {
    it('meets both targets, unlike placement on the least loaded engine', () => {
      const placed = simulate([LONG, SHORT], placeByFleet);
      const baseline = simulate([LONG, SHORT], placeLeastLoaded);
      expect(placed.short > ON_TIME_SHARE).toEqual(true);
      expect(placed.long > ON_TIME_SHARE).toEqual(true);
      expect(placed.short > baseline.short + 0.2).toEqual(true);
      expect(placed.long >= baseline.long).toEqual(true);
    });

    it('recomputes less than half as many tokens of shared parts', () => {
      const placed = simulate([LONG, SHORT], placeByFleet);
      const baseline = simulate([LONG, SHORT], placeLeastLoaded);
      expect(placed.recomputed < baseline.recomputed / 2).toEqual(true);
    });
  });

  it('meets more targets under overload if requests are refused by their expected wait', () => {
    const overload = [{...LONG, requestsPerSecond: 60}, SHORT];
    const admitted = simulate(overload, placeAdmitted);
    const queued = simulate(overload, placeByFleet);
    expect(admitted.long > 2 * queued.long).toEqual(true);
    expect(admitted.short > queued.short).toEqual(true);
  });

  it('keeps urgent streams on time in a burst of long prompts at twice the rate', () => {
    const burst = [{...LONG, requestsPerSecond: 24}, SHORT];
    const placed = simulate(burst, placeByFleet);
    const baseline = simulate(burst, placeLeastLoaded);
    expect(placed.short > 0.85).toEqual(true);
    expect(placed.short > baseline.short).toEqual(true);
    expect(placed.long > baseline.long).toEqual(true);
  });
});
