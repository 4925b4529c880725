import {readFileSync} from 'node:fs';

/** Resident memory of a process, in megabytes. */
export interface ResidentMemory {
  currentMb: number;
  /** Largest since the process started. */
  peakMb: number;
}

const KB_PER_MB = 1_024;

/** Reads the resident memory of a process; undefined once it has ended. */
export function readResidentMemory(pid: number): ResidentMemory | undefined {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, 'utf8');
  } catch {
    return undefined;
  }
  const read = (field: string) =>
    Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1]) /
    KB_PER_MB;
  // A process that has ended and was not waited for has no memory.
  if (!status.includes('VmHWM:')) return undefined;
  return {currentMb: read('VmRSS'), peakMb: read('VmHWM')};
}
