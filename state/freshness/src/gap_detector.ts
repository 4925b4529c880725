import type {Clock} from '@sardinestile/types';
import {elapsedMs, readClocks, type ClockReading} from './freshness.js';

/** Detects that the process was paused, for example by a freeze or a suspension. */
export interface GapDetector {
  /** Checks whether the process was paused since the last check. */
  check(): void;
  /** Checks, then returns whether a pause was detected at or after a monotonic time. */
  hasGapSince(atMs: number): boolean;
}

/** Options for createGapDetector. */
export interface GapDetectorOptions {
  clock: Clock;
  /** Longest interval at which the caller calls `check`. */
  intervalMs: number;
  /** Tolerated delay of a check beyond the interval; a longer one counts as a gap. */
  toleranceMs: number;
  /** Called once for each gap, by the check that detects it. */
  onGap: (gapMs: number) => void;
}

/** Creates a detector; the first check measures the time since this call. */
export function createGapDetector(options: GapDetectorOptions): GapDetector {
  const {clock, intervalMs, toleranceMs, onGap} = options;
  let lastReading: ClockReading = readClocks(clock);
  let lastGapAtMs = -Infinity;
  const check = () => {
    const now = readClocks(clock);
    const gapMs = elapsedMs(lastReading, now) - intervalMs;
    lastReading = now;
    if (gapMs <= toleranceMs) return;
    lastGapAtMs = now.monotonicMs;
    onGap(gapMs);
  };
  return {
    check,
    hasGapSince(atMs) {
      check();
      return lastGapAtMs >= atMs;
    },
  };
}
