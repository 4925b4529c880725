import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createPauseDetector} from '../src/index.js';

function createTestDetector() {
  const now = {monotonicMs: 1_000, wallMs: 50_000};
  const gaps: number[] = [];
  const detector = createPauseDetector({
    clock: {monotonicMs: () => now.monotonicMs, wallMs: () => now.wallMs},
    checkIntervalMs: 100,
    toleranceMs: 1_500,
    onPause: gapMs => gaps.push(gapMs),
  });
  return {detector, gaps, now};
}

describe('createPauseDetector', () => {
  it('detects no pause in a usual delay', () => {
    const {detector, gaps, now} = createTestDetector();
    now.monotonicMs += 1_600;
    now.wallMs += 1_600;
    detector.check();
    expect(gaps).toEqual([]);
    expect(detector.wasPausedSince(0)).toEqual(false);
  });

  it('reports a freeze once, even if wasPausedSince detects it', () => {
    const {detector, gaps, now} = createTestDetector();
    const startedAtMs = now.monotonicMs;
    now.monotonicMs += 7_000;
    now.wallMs += 7_000;
    expect(detector.wasPausedSince(startedAtMs)).toEqual(true);
    detector.check();
    expect(gaps).toEqual([6_900]);
    expect(detector.wasPausedSince(now.monotonicMs + 1)).toEqual(false);
  });

  it('detects a suspension, during which the monotonic clock stops', () => {
    const {detector, gaps, now} = createTestDetector();
    now.wallMs += 5_000;
    detector.check();
    expect(gaps).toEqual([4_900]);
  });
});
