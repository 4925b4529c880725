import type {Clock} from '@sardinestile/types';
import {elapsedMs, readClocks, type ClockReading} from './freshness.js';

/** Notices that the process stood still. */
export interface GapDetector {
  /** How long the process stood still since the last call, if it did; else 0. */
  check(): number;
}

/** When a process counts as having stood still. */
export interface GapDetectorOptions {
  clock: Clock;
  /** Interval at which `check` is called at least. */
  intervalMs: number;
  /** Delay of a call beyond the interval that counts as a gap. */
  toleranceMs: number;
}

/** Makes a detector; the first call is measured from now. */
export function createGapDetector(options: GapDetectorOptions): GapDetector {
  const {clock, intervalMs, toleranceMs} = options;
  let last: ClockReading = readClocks(clock);
  return {
    check() {
      const now = readClocks(clock);
      const gapMs = elapsedMs(last, now) - intervalMs;
      last = now;
      return gapMs > toleranceMs ? gapMs : 0;
    },
  };
}
