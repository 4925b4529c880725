import {readFileSync} from 'node:fs';

/** Kernel clock ticks per second, the unit of CPU times in `/proc/PID/stat`. */
const TICKS_PER_S = 100;

/** Indexes in `/proc/PID/stat`, counted from the field after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Reads the CPU time that a process has used, in milliseconds. */
export function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks * 1000) / TICKS_PER_S;
}

/** Reads the resident memory of a process, in mebibytes. */
export function readResidentMib(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const match = /^VmRSS:\s+(\d+) kB/m.exec(status);
  return Number(match?.[1] ?? 0) / 1024;
}

/** Reads the number of bytes received on the loopback interface. */
export function readLoopbackBytes(): number {
  const lines = readFileSync('/proc/net/dev', 'utf8').split('\n');
  const loopback = lines.find(line => line.trim().startsWith('lo:'));
  return Number(loopback?.split(':')[1].trim().split(/\s+/)[0] ?? 0);
}
