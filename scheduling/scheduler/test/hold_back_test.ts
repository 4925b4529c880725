import {describe, it} from 'node:test';
import {expect} from 'earl';
import {holdBackBelow} from '../src/fill_places.js';
import {createSchedulerState} from '../src/scheduler_state.js';

function createTestState() {
  return createSchedulerState({
    classes: [
      {name: 'high', tier: 0, minShare: 0},
      {name: 'low', tier: 2, minShare: 0.1},
    ],
    capacity: 4,
    overcommitPlaces: 4,
    weightOf: () => 1,
  });
}

/** Length of the hold that a preemption at a time begins. */
function holdAt(
  state: ReturnType<typeof createTestState>,
  nowMs: number,
): number {
  state.nowMs = nowMs;
  holdBackBelow(state, 0);
  return state.holdBackUntilMs - nowMs;
}

describe('holdBackBelow', () => {
  it('keeps lower tiers back for a short time after a single preemption', () => {
    const state = createTestState();
    expect(holdAt(state, 60_000)).toEqual(2_000);
    const [high, low] = state.classes;
    expect(high.heldBackUntilMs < 60_000).toEqual(true);
    expect(low.heldBackUntilMs).toEqual(62_000);
  });

  it('doubles the time for each preemption soon after the last hold, up to a limit', () => {
    const state = createTestState();
    let nowMs = 60_000;
    const lengths = [2_000, 4_000, 8_000, 10_000, 10_000];
    for (const lengthMs of lengths) {
      expect(holdAt(state, nowMs)).toEqual(lengthMs);
      nowMs += lengthMs + 100;
    }
  });

  it('begins anew after a calm time', () => {
    const state = createTestState();
    holdAt(state, 60_000);
    expect(holdAt(state, 62_500)).toEqual(4_000);
    expect(holdAt(state, 62_500 + 4_000 + 4_000)).toEqual(2_000);
  });
});
