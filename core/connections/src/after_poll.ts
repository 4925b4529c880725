/**
 * Age from which input that nobody has read may belong to a request that its sender takes for
 * received, in milliseconds. Connections of callers are ended with unread input only below it.
 */
export const MAX_UNREAD_MS = 100;

/**
 * Calls back when the event loop has read what has arrived by now. `unreadMs` bounds how long
 * ago other input may have arrived, in milliseconds. To be called from timers or immediates.
 */
export function afterPoll(callback: (unreadMs: number) => void): void {
  const calledAtMs = performance.now();
  // Immediates run after the poll that follows timers and other immediates.
  setImmediate(() => callback(performance.now() - calledAtMs));
}
