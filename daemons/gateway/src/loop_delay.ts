/** Measures how late an event loop handles what happens. */
export interface LoopDelay {
  /** To be called by a timer at every interval. */
  check(): void;
  /**
   * Returns an upper bound, up to one interval, of the time for which an event that is
   * handled now has waited, in milliseconds.
   */
  delayMs(): number;
}

/** Creates a measurement for checks at an interval in milliseconds. */
export function createLoopDelay(
  intervalMs: number,
  nowMs: () => number,
): LoopDelay {
  let checkedAtMs = nowMs();
  let lastCheckDelayMs = 0;
  const sinceDueMs = () => Math.max(0, nowMs() - checkedAtMs - intervalMs);
  return {
    check() {
      lastCheckDelayMs = sinceDueMs();
      checkedAtMs = nowMs();
    },
    // Timers run before signals, so that the check itself may have been as late.
    delayMs: () => Math.max(sinceDueMs(), lastCheckDelayMs),
  };
}
