import type {Clock} from '@sardinestile/types';
import {elapsedMs, readClocks, type ClockReading} from './freshness.js';

/** Detects that the process was paused, for example by a freeze or a suspension. */
export interface PauseDetector {
  /** Checks whether the process was paused since the last check. */
  check(): void;
  /** Checks, then returns whether a pause was detected at or after a monotonic time. */
  wasPausedSince(atMs: number): boolean;
}

/** Options for createPauseDetector. */
export interface PauseDetectorOptions {
  clock: Clock;
  /** Longest interval at which the caller calls `check`. */
  checkIntervalMs: number;
  /** Tolerated delay of a check beyond the interval; a longer one counts as a gap. */
  toleranceMs: number;
  /** Called once for each gap, by the check that detects it. */
  onPause: (gapMs: number) => void;
}

/** Creates a detector; the first check measures the time since this call. */
export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  const {clock, checkIntervalMs, toleranceMs, onPause} = options;
  let lastReading: ClockReading = readClocks(clock);
  let lastGapAtMs = -Infinity;
  const check = () => {
    const now = readClocks(clock);
    const gapMs = elapsedMs(lastReading, now) - checkIntervalMs;
    lastReading = now;
    if (gapMs <= toleranceMs) return;
    lastGapAtMs = now.monotonicMs;
    onPause(gapMs);
  };
  return {
    check,
    wasPausedSince(atMs) {
      check();
      return lastGapAtMs >= atMs;
    },
  };
}
