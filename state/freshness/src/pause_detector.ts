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
  /** Tolerated delay of a check beyond the interval; a longer one counts as a pause. */
  toleranceMs: number;
  /** Called once for each pause, by the check that detects it. */
  onPause: (pauseMs: number) => void;
}

/** Creates a detector; the first check measures the time since this call. */
export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  const {clock, checkIntervalMs, toleranceMs, onPause} = options;
  let lastReading: ClockReading = readClocks(clock);
  let lastPauseAtMs = -Infinity;
  const check = () => {
    const now = readClocks(clock);
    const pauseMs = elapsedMs(lastReading, now) - checkIntervalMs;
    lastReading = now;
    if (pauseMs <= toleranceMs) return;
    lastPauseAtMs = now.monotonicMs;
    onPause(pauseMs);
  };
  return {
    check,
    wasPausedSince(atMs) {
      check();
      return lastPauseAtMs >= atMs;
    },
  };
}
