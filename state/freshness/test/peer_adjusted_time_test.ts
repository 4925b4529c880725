import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSlewedTime, createPeerAdjustedTime} from '../src/index.js';

function createTestTime() {
  const now = {monotonicMs: 1_000, wallMs: 50_000};
  const advance = (ms: number) => {
    now.monotonicMs += ms;
    now.wallMs += ms;
  };
  const slewedTimeMs = createSlewedTime({
    monotonicMs: () => now.monotonicMs,
    wallMs: () => now.wallMs,
  });
  return {now, advance, slewedTimeMs};
}

describe('createSlewedTime', () => {
  it('follows a step of the wall clock only slowly', () => {
    const {now, advance, slewedTimeMs} = createTestTime();
    now.wallMs += 80_000;
    expect(slewedTimeMs()).toEqual(50_000);
    advance(5_000);
    expect(Math.round(slewedTimeMs())).toEqual(55_005);
    now.wallMs -= 80_000;
    advance(1_000);
    expect(Math.round(slewedTimeMs())).toEqual(56_004);
  });

  it('converges to the wall clock in the long run', () => {
    const {now, advance, slewedTimeMs} = createTestTime();
    now.wallMs += 2_000;
    advance(3_600_000);
    expect(slewedTimeMs()).toEqual(now.wallMs);
  });
});

describe('createPeerAdjustedTime', () => {
  it('ignores the wrong clock of a single instance', () => {
    const {slewedTimeMs} = createTestTime();
    const withOwnClockWrong = createPeerAdjustedTime(slewedTimeMs, () => [
      3_000, 3_004,
    ]);
    expect(withOwnClockWrong()).toEqual(53_000);
    const withPeerClockWrong = createPeerAdjustedTime(slewedTimeMs, () => [
      3_000, 2, -1,
    ]);
    expect(withPeerClockWrong()).toEqual(50_001);
  });
});
