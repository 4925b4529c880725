/** Polling interval, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Polls a condition until it holds; rejects after the limit. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  limitMs = 60_000,
): Promise<void> {
  const startedAtMs = performance.now();
  while (!(await condition())) {
    if (performance.now() - startedAtMs > limitMs) {
      throw new Error(`condition not met within ${limitMs} ms`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
