import {describe, it} from 'node:test';
import {expect} from 'earl';
import {startCooldownBelow} from '../src/fill_slots.js';
import {createSchedulerState} from '../src/scheduler_state.js';

function createTestState() {
  return createSchedulerState({
    classes: [
      {name: 'high', tier: 0, minShare: 0},
      {name: 'low', tier: 2, minShare: 0.1},
    ],
    capacity: 4,
    overcommitSlots: 4,
    weightOf: () => 1,
  });
}

/** Starts a cooldown at a time and returns its length. */
function startCooldownAt(
  state: ReturnType<typeof createTestState>,
  nowMs: number,
): number {
  state.nowMs = nowMs;
  startCooldownBelow(state, 0);
  return state.cooldownUntilMs - nowMs;
}

describe('startCooldownBelow', () => {
  it('restricts only lower tiers, for the minimum time at first', () => {
    const state = createTestState();
    expect(startCooldownAt(state, 60_000)).toEqual(2_000);
    const [high, low] = state.classes;
    expect(high.cooldownUntilMs < 60_000).toEqual(true);
    expect(low.cooldownUntilMs).toEqual(62_000);
  });

  it('doubles the cooldown if it begins again soon after the last one, up to a limit', () => {
    const state = createTestState();
    let nowMs = 60_000;
    const lengths = [2_000, 4_000, 8_000, 10_000, 10_000];
    for (const lengthMs of lengths) {
      expect(startCooldownAt(state, nowMs)).toEqual(lengthMs);
      nowMs += lengthMs + 100;
    }
  });

  it('returns to the minimum after a longer pause', () => {
    const state = createTestState();
    startCooldownAt(state, 60_000);
    expect(startCooldownAt(state, 62_500)).toEqual(4_000);
    expect(startCooldownAt(state, 62_500 + 4_000 + 4_000)).toEqual(2_000);
  });
});
