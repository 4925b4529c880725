import type {Logger} from '@sardinestile/logger';
import {readProcessMemory} from './process_end.js';

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Shares of the heap's limit from which its use counts as high, and as usual again. */
const HIGH_SHARE = 0.8;
const USUAL_SHARE = 0.7;

/** Options for watchProcessMemory. */
export interface ProcessMemoryOptions {
  logger: Logger;
  /** Reads the memory of this process; replaced in tests. */
  read?: typeof readProcessMemory;
}

/**
 * Logs when the heap comes close to its limit, at which the process is aborted without a
 * line, and when it is back. The checks do not keep the process running.
 */
export function watchProcessMemory(options: ProcessMemoryOptions): {
  check(): void;
  stop(): void;
} {
  const {logger, read = readProcessMemory} = options;
  let isHigh = false;
  const check = () => {
    const memory = read();
    const share = memory.heapUsedMb / memory.heapLimitMb;
    if (isHigh ? share > USUAL_SHARE : share < HIGH_SHARE) return;
    isHigh = !isHigh;
    if (isHigh) logger.warn('process_heap_high', memory);
    else logger.info('process_heap_usual', memory);
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  return {check, stop: () => clearInterval(timer)};
}
