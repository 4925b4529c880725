/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Bounds how late the event loop of this process handles signals. */
export interface LoopDelay {
  /**
   * Returns a time by performance.now() before which no signal was sent that is handled
   * now or later; 0, the start of the process, until the loop has polled.
   */
  earliestSignalAtMs(): number;
  stop(): void;
}

/** Starts to check the event loop; the checks do not keep the process running. */
export function startLoopDelay(): LoopDelay {
  let polledAfterMs = 0;
  const check = () => {
    const checkedAtMs = performance.now();
    // Immediates run after the poll that follows timers, and signals that were sent
    // before it are handled in it.
    setImmediate(() => (polledAfterMs = checkedAtMs));
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    earliestSignalAtMs: () => polledAfterMs,
    stop: () => clearInterval(timer),
  };
}
