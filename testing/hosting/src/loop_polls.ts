/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 10;

/** Bounds how late the event loop of this process reports events. */
export interface LoopPolls {
  /** Returns a time by performance.now(); what happened before it has been reported. */
  reportedUntilMs(): number;
  stop(): void;
}

/** Starts to check the event loop; the checks do not keep the process running. */
export function startLoopPolls(): LoopPolls {
  let reportedUntilMs = performance.now();
  const timer = setInterval(() => {
    const checkedAtMs = performance.now();
    // Immediates run after the poll that follows timers, which reports what has happened.
    setImmediate(() => (reportedUntilMs = checkedAtMs));
  }, CHECK_INTERVAL_MS).unref();
  return {
    reportedUntilMs: () => reportedUntilMs,
    stop: () => clearInterval(timer),
  };
}
