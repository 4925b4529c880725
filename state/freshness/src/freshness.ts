import type {Clock} from '@sardinestile/types';

/** Readings of the monotonic clock and the wall clock, taken together. */
export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

/** Reads the monotonic clock and the wall clock. */
export function readClocks(clock: Clock): ClockReading {
  return {monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs()};
}

/**
 * Returns the time between two readings, in milliseconds: the larger advance of
 * the two clocks. The monotonic clock stops while the machine is suspended, and
 * the wall clock may step back.
 */
export function elapsedMs(since: ClockReading, now: ClockReading): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}

/** Returns a reading that is `byMs` milliseconds earlier. */
export function subtractMs(reading: ClockReading, byMs: number): ClockReading {
  return {
    monotonicMs: reading.monotonicMs - byMs,
    wallMs: reading.wallMs - byMs,
  };
}

/** Tracks how long ago a view of shared state was known to be current. */
export interface FreshnessTracker {
  /** Records that a read sent at `sentAt` succeeded, so that the view was current after it. */
  confirm(sentAt: ClockReading): void;
  /** Returns an upper bound of the view's age; Infinity if it was never known to be current. */
  ageMs(now: ClockReading): number;
  /** Makes the age infinite until the next confirmation, for example after the process was paused. */
  invalidate(): void;
}

/** Creates a tracker for a view that was not read yet. */
export function createFreshnessTracker(): FreshnessTracker {
  let confirmedAt: ClockReading | undefined;
  return {
    confirm(sentAt) {
      if (!confirmedAt || sentAt.monotonicMs > confirmedAt.monotonicMs) {
        confirmedAt = sentAt;
      }
    },
    ageMs: now => (confirmedAt ? elapsedMs(confirmedAt, now) : Infinity),
    invalidate() {
      confirmedAt = undefined;
    },
  };
}
