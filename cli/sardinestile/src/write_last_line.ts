import {writeSync} from 'node:fs';

const STDOUT = 1;
const STDERR = 2;

/** Time limit for a reader that stalls, in milliseconds. */
const STALL_LIMIT_MS = 50;

/** Interval of the attempts meanwhile, in milliseconds. */
const RETRY_INTERVAL_MS = 5;

/**
 * Writes a line synchronously, for a process that runs no other code afterwards: to
 * standard output, or to standard error if nobody reads that. Never throws.
 */
export function writeLastLine(line: string): void {
  if (!tryWrite(STDOUT, line)) tryWrite(STDERR, line);
}

/** Returns whether all bytes were written. */
function tryWrite(descriptor: number, line: string): boolean {
  const endMs = performance.now() + STALL_LIMIT_MS;
  let bytes = Buffer.from(line);
  while (bytes.length > 0) {
    try {
      bytes = bytes.subarray(writeSync(descriptor, bytes));
    } catch (error) {
      const isFull = (error as NodeJS.ErrnoException).code === 'EAGAIN';
      if (!isFull || performance.now() > endMs) return false;
      waitMs(RETRY_INTERVAL_MS);
    }
  }
  return true;
}

function waitMs(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}
