import {readFileSync} from 'node:fs';

const BYTES_PER_KB = 1_024;

/**
 * Returns the largest resident memory of this process so far, in bytes; undefined where the
 * operating system does not tell it. `maxRSS` of Node.js includes that of the process
 * which started this one.
 */
export function readPeakResidentBytes(): number | undefined {
  let status: string;
  try {
    status = readFileSync('/proc/self/status', 'utf8');
  } catch {
    // Not on Linux, or no descriptor is left.
    return undefined;
  }
  const peakKb = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
  return peakKb === undefined ? undefined : Number(peakKb) * BYTES_PER_KB;
}
