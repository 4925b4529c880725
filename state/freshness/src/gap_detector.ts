import type {Clock} from '@sardinestile/types';
import {elapsedMs, readClocks, type ClockReading} from './freshness.js';

/** Notices that the process stood still. */
export interface GapDetector {
  /** Looks whether the process stood still since the last look. */
  check(): void;
  /** Whether it stood still after a time of the steady clock; looks first. */
  hasGapSince(atMs: number): boolean;
}

/** When a process counts as having stood still. */
export interface GapDetectorOptions {
  clock: Clock;
  /** Interval at which `check` is called at least. */
  intervalMs: number;
  /** Delay of a call beyond the interval that counts as a gap. */
  toleranceMs: number;
  /** Told of each gap once, by whichever look notices it. */
  onGap: (gapMs: number) => void;
}

/** Makes a detector; the first look is measured from now. */
export function createGapDetector(options: GapDetectorOptions): GapDetector {
  const {clock, intervalMs, toleranceMs, onGap} = options;
  let last: ClockReading = readClocks(clock);
  let noticedAtMs = -Infinity;
  const check = () => {
    const now = readClocks(clock);
    const gapMs = elapsedMs(last, now) - intervalMs;
    last = now;
    if (gapMs <= toleranceMs) return;
    noticedAtMs = now.monotonicMs;
    onGap(gapMs);
  };
  return {
    check,
    hasGapSince(atMs) {
      check();
      return noticedAtMs >= atMs;
    },
  };
}
