import {getHeapStatistics} from 'node:v8';

/** Limits of this process. */
export interface ProcessLimits {
  /** Heap for objects that live long, in bytes. */
  heapLimitBytes: number;
  /** Descriptors that it may have open; undefined if there is no limit. */
  maxDescriptors: number | undefined;
}

/** Largest size of a semi-space of V8 unless a flag states another, in megabytes. */
const DEFAULT_SEMI_SPACE_MB = 16;

/** Semi-spaces that V8 counts in the limit of the heap, beside the space for old objects. */
const SEMI_SPACES = 3;

/** Share of the heap's limit that is for old objects at least, also in a heap that is small. */
const MIN_OLD_SHARE = 0.5;

const BYTES_PER_MB = 1_048_576;

/** The part of a diagnostic report that has the limits of the process. */
interface LimitsReport {
  userLimits?: {open_files?: {soft?: number | string}};
}

/** Reads the limits of this process. */
export function readProcessLimits(): ProcessLimits {
  const {userLimits} = process.report.getReport() as LimitsReport;
  const descriptors = userLimits?.open_files?.soft;
  const {heap_size_limit: limitBytes} = getHeapStatistics();
  const flags = [...process.execArgv, process.env.NODE_OPTIONS].join(' ');
  return {
    heapLimitBytes: Math.max(
      MIN_OLD_SHARE * limitBytes,
      limitBytes - SEMI_SPACES * readSemiSpaceMb(flags) * BYTES_PER_MB,
    ),
    maxDescriptors: typeof descriptors === 'number' ? descriptors : undefined,
  };
}

/** Returns the size of a semi-space by the flags of the process; V8 does not tell it otherwise. */
function readSemiSpaceMb(flags: string): number {
  const match = /--max[-_]semi[-_]space[-_]size[ =](\d+)/.exec(flags);
  return match ? Number(match[1]) : DEFAULT_SEMI_SPACE_MB;
}
