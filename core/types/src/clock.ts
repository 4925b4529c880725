/**
 * Source of time. Functions that make decisions take the time as an argument
 * and do not read a clock.
 */
export interface Clock {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump forwards or backwards. */
  wallMs(): number;
}

/** Creates a clock that reads the operating system's clocks. */
export function createSystemClock(): Clock {
  return {
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
  };
}
