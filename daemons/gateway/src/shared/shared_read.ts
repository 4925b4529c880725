import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@sardinestile/types';

/**
 * Shortest time between two reads for resumes, in milliseconds. Callers return together
 * after a loss, and those that come meanwhile share the next read.
 */
const READ_INTERVAL_MS = 200;

/** Returns a function whose calls at about the same time share one read, which begins after each of them. */
export function createSharedRead<T>(
  read: () => Promise<T>,
  clock: Clock,
): () => Promise<T> {
  /** The read that has not begun yet. */
  let nextRead: Promise<T> | undefined;
  let readAtMs = -Infinity;
  return () => {
    nextRead ??= (async () => {
      const sinceMs = clock.monotonicMs() - readAtMs;
      await sleep(Math.max(0, READ_INTERVAL_MS - sinceMs));
      nextRead = undefined;
      readAtMs = clock.monotonicMs();
      return read();
    })();
    return nextRead;
  };
}
