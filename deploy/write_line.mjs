import {constants, closeSync, fstatSync, openSync, writeSync} from 'node:fs';

/**
 * Writes a line to a descriptor. It is dropped if the descriptor is closed, or is a pipe that
 * nobody reads: a build does not wait for its reader.
 */
export function writeLine(descriptor, text) {
  try {
    if (process.platform !== 'linux' || !fstatSync(descriptor).isFIFO()) {
      writeSync(descriptor, `${text}\n`);
      return;
    }
    // Opened again, since the flags of the descriptor belong to other processes, too.
    const pipe = openSync(
      `/proc/self/fd/${descriptor}`,
      constants.O_WRONLY | constants.O_NONBLOCK,
    );
    try {
      writeSync(pipe, `${text}\n`);
    } finally {
      closeSync(pipe);
    }
  } catch {
    // Nobody reads it.
  }
}
