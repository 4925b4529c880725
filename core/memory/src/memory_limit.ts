import {totalmem} from 'node:os';

/**
 * Returns the memory that this process may use, in bytes: the limit of its container, or else
 * the memory of the machine.
 */
export function readMemoryLimitBytes(): number {
  const machineBytes = totalmem();
  const containerBytes = process.constrainedMemory();
  return containerBytes > 0
    ? Math.min(containerBytes, machineBytes)
    : machineBytes;
}
