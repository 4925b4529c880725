import type {Logger} from '@sardinestile/logger';
import {readProcessMemory, type ProcessMemory} from './process_end.js';

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Shares of a limit from which its use counts as high, and as usual again. */
const HIGH_SHARE = 0.8;
const USUAL_SHARE = 0.7;

/** Options for watchProcessMemory. */
export interface ProcessMemoryOptions {
  logger: Logger;
  /** Reads the memory of this process; replaced in tests. */
  read?: () => ProcessMemory;
}

/** A part of the memory that has a limit of its own. */
interface MemoryShare {
  highEvent: 'process_heap_high' | 'process_memory_high';
  usualEvent: 'process_heap_usual' | 'process_memory_usual';
  /** Returns the share of the limit that is in use. */
  share(memory: ProcessMemory): number;
  isHigh: boolean;
}

/** Watches the memory of this process. */
export interface ProcessMemoryWatch {
  /** Sets the resident memory at which the platform kills this process, in megabytes. */
  setLimitMb(limitMb: number): void;
  check(): void;
  stop(): void;
}

/**
 * Logs when the heap comes close to its limit, at which the process is aborted, or the
 * resident memory to that of the platform, at which it is killed, both without a line; and
 * when they are back. The checks do not keep the process running.
 */
export function watchProcessMemory(
  options: ProcessMemoryOptions,
): ProcessMemoryWatch {
  const {logger, read = readProcessMemory} = options;
  let memoryLimitMb: number | undefined;
  const watches: MemoryShare[] = [
    {
      highEvent: 'process_heap_high',
      usualEvent: 'process_heap_usual',
      share: ({heapUsedMb, heapLimitMb}: ProcessMemory) =>
        heapUsedMb / heapLimitMb,
      isHigh: false,
    },
    {
      highEvent: 'process_memory_high',
      usualEvent: 'process_memory_usual',
      share: ({residentMb = 0}: ProcessMemory) =>
        memoryLimitMb === undefined ? 0 : residentMb / memoryLimitMb,
      isHigh: false,
    },
  ];
  const check = () => {
    const memory = read();
    for (const watch of watches) {
      const share = watch.share(memory);
      if (watch.isHigh ? share > USUAL_SHARE : share < HIGH_SHARE) continue;
      watch.isHigh = !watch.isHigh;
      const fields = {...memory, memoryLimitMb};
      if (watch.isHigh) logger.warn(watch.highEvent, fields);
      else logger.info(watch.usualEvent, fields);
    }
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    setLimitMb: limitMb => (memoryLimitMb = limitMb),
    check,
    stop: () => clearInterval(timer),
  };
}
