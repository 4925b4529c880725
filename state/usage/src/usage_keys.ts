/** Default length of a usage window; the platform may set another one. */
export const WINDOW_MS = 60_000;

const WINDOW_DIGITS = 14;

/** Returns the id of the window that contains a time: its start, padded so that ids sort. */
export function windowIdAt(wallMs: number, windowMs = WINDOW_MS): string {
  const startMs = Math.floor(wallMs / windowMs) * windowMs;
  return String(startMs).padStart(WINDOW_DIGITS, '0');
}

/** Returns the end of a window, in milliseconds since the epoch. */
export function windowEndMs(windowId: string, windowMs = WINDOW_MS): number {
  return Number(windowId) + windowMs;
}

/** Prefix of the rows in which sources store their usage. */
export const SUMS_PREFIX = 'usage/sums/';

/** Returns the prefix of the rows in which sources store the usage of a window. */
export function sumsPrefix(windowId: string): string {
  return `${SUMS_PREFIX}${windowId}/`;
}

/** Returns the key of the row in which a source stores its usage of a window. */
export function sumsKey(windowId: string, source: string): string {
  return sumsPrefix(windowId) + source;
}

/** Prefix of the rows that mark closed windows. */
export const CLOSED_PREFIX = 'usage/closed/';

/** Returns the key of the row that marks a window as closed, so that sources cannot write to it. */
export function closedKey(windowId: string): string {
  return CLOSED_PREFIX + windowId;
}

/** Prefix of the rows with the sums of sealed windows. */
export const SEAL_PREFIX = 'usage/seal/';

/** Returns the key of the row with the final sums that are reported for a window. */
export function sealKey(windowId: string): string {
  return SEAL_PREFIX + windowId;
}

/** Key of the row with the fencing token and the progress of the reporter. */
export const REPORTER_KEY = 'usage/reporter';

/** Returns the end of the key range with a prefix (exclusive). */
export function prefixEnd(prefix: string): string {
  return prefix + '\uffff';
}
