/** Bounds how late an event loop handles what happens. */
export interface LoopDelay {
  /** To be called by a timer at every interval. */
  check(): void;
  /**
   * Returns an upper bound of the time for which a signal that is handled now has
   * waited, in milliseconds.
   */
  maxDelayMs(): number;
}

/** Creates a bound that starts now. */
export function createLoopDelay(nowMs: () => number): LoopDelay {
  let lastCheckAtMs = nowMs();
  let earlierCheckAtMs = lastCheckAtMs;
  return {
    check() {
      earlierCheckAtMs = lastCheckAtMs;
      lastCheckAtMs = nowMs();
    },
    // A turn of the loop polls after its timers and handles signals after all other
    // events, so that a signal may have arrived just after the poll of the turn before.
    maxDelayMs: () => nowMs() - earlierCheckAtMs,
  };
}
