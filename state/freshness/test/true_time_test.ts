import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSmoothTime, createTrueTime} from '../src/index.js';

function createTestTime() {
  const now = {monotonicMs: 1_000, wallMs: 50_000};
  const advance = (ms: number) => {
    now.monotonicMs += ms;
    now.wallMs += ms;
  };
  const smoothTimeMs = createSmoothTime({
    monotonicMs: () => now.monotonicMs,
    wallMs: () => now.wallMs,
  });
  return {now, advance, smoothTimeMs};
}

describe('createSmoothTime', () => {
  it('follows a step of the wall clock only slowly', () => {
    const {now, advance, smoothTimeMs} = createTestTime();
    now.wallMs += 80_000;
    expect(smoothTimeMs()).toEqual(50_000);
    advance(5_000);
    expect(Math.round(smoothTimeMs())).toEqual(55_005);
    now.wallMs -= 80_000;
    advance(1_000);
    expect(Math.round(smoothTimeMs())).toEqual(56_004);
  });

  it('converges to the wall clock in the long run', () => {
    const {now, advance, smoothTimeMs} = createTestTime();
    now.wallMs += 2_000;
    advance(3_600_000);
    expect(smoothTimeMs()).toEqual(now.wallMs);
  });
});

describe('createTrueTime', () => {
  it('ignores the wrong clock of a single instance', () => {
    const {smoothTimeMs} = createTestTime();
    const withOwnClockWrong = createTrueTime(smoothTimeMs, () => [
      3_000, 3_004,
    ]);
    expect(withOwnClockWrong()).toEqual(53_000);
    const withPeerClockWrong = createTrueTime(smoothTimeMs, () => [
      3_000, 2, -1,
    ]);
    expect(withPeerClockWrong()).toEqual(50_001);
  });
});
