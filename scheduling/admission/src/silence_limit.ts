/** What is known when a request has been sent and no data has arrived. */
export interface Silence {
  /**
   * Time without data that 95 in 100 sound responses stay below; undefined before one
   * was measured, and for a response that has begun.
   */
  usualMs: number | undefined;
  /** Expected time until another upstream sends data. */
  repeatMs: number;
  /** Time until the data comes too late for the caller. */
  timeLeftMs: number;
  /** Attempts that the request may still have, this one included. */
  attemptsLeft: number;
}

/**
 * Returns the time without data after which another upstream is asked, in milliseconds;
 * undefined if this one is waited for until the caller leaves.
 *
 * Beyond the usual time, waiting costs at most as much as asking again would. Without a
 * usual time, all attempts get equal parts of the time that is left.
 */
export function silenceLimitMs({
  usualMs,
  repeatMs,
  timeLeftMs,
  attemptsLeft,
}: Silence): number | undefined {
  if (attemptsLeft < 2) return undefined;
  const limitMs =
    usualMs === undefined ? timeLeftMs / attemptsLeft : usualMs + repeatMs;
  return limitMs + repeatMs <= timeLeftMs ? limitMs : undefined;
}
