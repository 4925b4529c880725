/** Length of a usage window where the platform names none, in milliseconds. */
export const WINDOW_MS = 60_000;

const WINDOW_DIGITS = 14;

/** Identifies the window that holds a time since the epoch. */
export function windowIdAt(wallMs: number, windowMs = WINDOW_MS): string {
  const startMs = Math.floor(wallMs / windowMs) * windowMs;
  return String(startMs).padStart(WINDOW_DIGITS, '0');
}

/** End of a window, in milliseconds since the epoch. */
export function windowEndMs(windowId: string, windowMs = WINDOW_MS): number {
  return Number(windowId) + windowMs;
}

/** Beginning of the keys of all rows that sources write. */
export const SUMS_PREFIX = 'usage/sums/';

/** First key of the rows that sources write for a window. */
export function sumsPrefix(windowId: string): string {
  return `${SUMS_PREFIX}${windowId}/`;
}

/** Row of one source for a window. */
export function sumsKey(windowId: string, source: string): string {
  return sumsPrefix(windowId) + source;
}

/** Beginning of the keys of all closed windows. */
export const CLOSED_PREFIX = 'usage/closed/';

/** Row whose presence keeps sources from adding to a window. */
export function closedKey(windowId: string): string {
  return CLOSED_PREFIX + windowId;
}

/** Beginning of the keys of all sealed windows. */
export const SEAL_PREFIX = 'usage/seal/';

/** Row with the figures that a window is reported with. */
export function sealKey(windowId: string): string {
  return SEAL_PREFIX + windowId;
}

/** Row that holds the token of the reporter in charge. */
export const REPORTER_KEY = 'usage/reporter';

/** First key after those that begin with a prefix. */
export function prefixEnd(prefix: string): string {
  return prefix + '\uffff';
}
