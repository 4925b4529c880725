/**
 * Calls back when the event loop has read what has arrived by now. `unreadMs` bounds how long
 * ago other input may have arrived, in milliseconds. To be called from timers or immediates.
 */
export function afterPoll(callback: (unreadMs: number) => void): void {
  const calledAtMs = performance.now();
  // Immediates run after the poll that follows timers and other immediates.
  setImmediate(() => callback(performance.now() - calledAtMs));
}
