import {getHeapStatistics} from 'node:v8';
import {createLogger, type Logger} from '@sardinestile/logger';
import {readPeakResidentBytes} from '@sardinestile/memory';
import {describeError} from './describe_error.js';
import type {ProcessOutcome} from './process_signals.js';
import {writeLastLine} from './write_last_line.js';

/** What ended a process; a signal that it cannot handle leaves no line. */
export type ProcessEndCause =
  /** It was asked to stop, and did. */
  | 'stopped'
  /** Something that its start needs was missing. */
  | 'startFailed'
  /** It was asked to stop, and its stop failed. */
  | 'stopFailed'
  /** Nothing caught an exception. */
  | 'uncaughtException'
  /** Nothing handled the rejection of a promise. */
  | 'unhandledRejection'
  /** Another cause; `exitCode` may tell. */
  | 'other';

/** Records why this process ends; what was recorded first holds. */
export interface ProcessEnd {
  record(cause: ProcessEndCause, reason?: string): void;
  recordOutcome(outcome: ProcessOutcome): void;
}

/** Options for logProcessEnd. */
export interface ProcessEndOptions {
  /** The process that ends; this one by default. */
  host?: Pick<NodeJS.Process, 'on' | 'uptime'>;
  /** Writes a line synchronously; must not throw. */
  write?: (line: string) => void;
}

const BYTES_PER_MB = 1_048_576;

/**
 * Logs one line `process_ended` when the process ends, with cause, uptime and memory. The
 * line is written synchronously, as nothing runs after it.
 */
export function logProcessEnd(options: ProcessEndOptions = {}): ProcessEnd {
  const {host = process, write = writeLastLine} = options;
  let recorded: RecordedCause | undefined;
  let uncaught: RecordedCause | undefined;
  host.on('uncaughtExceptionMonitor', (error: unknown, origin) => {
    uncaught ??= {cause: origin, reason: describeError(error)};
  });
  host.on('exit', exitCode => {
    const logger = createLogger({level: 'info', write});
    const {cause, reason} = recorded ?? uncaught ?? {cause: 'other'};
    const hasFailed = cause !== 'other' && cause !== 'stopped';
    logger[hasFailed ? 'error' : 'info']('process_ended', {
      cause,
      reason,
      exitCode,
      uptimeMs: Math.round(host.uptime() * 1_000),
      ...readProcessMemory(),
    });
  });
  const record = (cause: ProcessEndCause, reason?: string) => {
    recorded ??= {cause, reason};
  };
  return {
    record,
    recordOutcome: outcome =>
      record(
        outcome.cause,
        'error' in outcome ? describeError(outcome.error) : undefined,
      ),
  };
}

interface RecordedCause {
  cause: ProcessEndCause;
  reason?: string;
}

/** Logs that this process begins to start, with what it runs on. */
export function logProcessStart(role: string, logger: Logger): void {
  logger.info('process_starting', {
    role,
    pid: process.pid,
    nodeVersion: process.versions.node,
    uptimeMs: Math.round(process.uptime() * 1_000),
    ...readProcessMemory(),
  });
}

/** Memory of a process, in megabytes; fields that cannot be read are undefined. */
export interface ProcessMemory {
  residentMb?: number;
  /** Largest resident memory since the process started. */
  residentPeakMb?: number;
  /** Buffers outside of the heap, including those that are not used any more. */
  bufferMb?: number;
  heapUsedMb: number;
  heapLimitMb: number;
}

/**
 * Returns the memory of this process; without the resident memory and buffers while it
 * cannot open another file.
 */
export function readProcessMemory(): ProcessMemory {
  const {used_heap_size: heapUsed, heap_size_limit: heapLimit} =
    getHeapStatistics();
  return {
    ...readResidentMemory(),
    heapUsedMb: Math.round(heapUsed / BYTES_PER_MB),
    heapLimitMb: Math.round(heapLimit / BYTES_PER_MB),
  };
}

function readResidentMemory(): Pick<
  ProcessMemory,
  'residentMb' | 'residentPeakMb' | 'bufferMb'
> {
  const peakBytes = readPeakResidentBytes();
  try {
    const {rss, arrayBuffers} = process.memoryUsage();
    return {
      residentPeakMb: peakBytes && Math.round(peakBytes / BYTES_PER_MB),
      residentMb: Math.round(rss / BYTES_PER_MB),
      bufferMb: Math.round(arrayBuffers / BYTES_PER_MB),
    };
  } catch {
    // It is read from a file, which needs a descriptor.
    return {};
  }
}
