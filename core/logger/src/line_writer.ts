import {write} from 'node:fs';

/** Bytes that wait for a slow reader before lines are dropped. */
const MAX_WAITING_BYTES = 1_048_576;

/** Writes lines without ever blocking. */
export interface LineWriter {
  /** Takes a line with its newline; drops it if too much waits. */
  write(line: string): void;
  /** Lines that were dropped since the last call. */
  takeDropped(): number;
  readonly waitingBytes: number;
}

/** Writes bytes to a file descriptor and calls back when they are taken. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** What a writer is made of. */
export interface LineWriterOptions {
  writeBytes?: WriteBytes;
  maxWaitingBytes?: number;
}

/**
 * Makes a writer to standard output. Writes happen outside the event loop's
 * thread, since a pipe whose reader stalls would block it.
 */
export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
  const writeBytes = options.writeBytes ?? writeToStdout;
  const maxWaitingBytes = options.maxWaitingBytes ?? MAX_WAITING_BYTES;
  const waiting: string[] = [];
  let waitingBytes = 0;
  let isWriting = false;
  let dropped = 0;

  const flush = () => {
    if (isWriting || waiting.length === 0) return;
    isWriting = true;
    writeAll(Buffer.from(waiting.splice(0).join('')));
  };
  const writeAll = (bytes: Buffer) => {
    writeBytes(bytes, (error, written) => {
      if (!error && written < bytes.length) {
        waitingBytes -= written;
        writeAll(bytes.subarray(written));
        return;
      }
      // Without a reader there is nobody left to tell.
      waitingBytes -= bytes.length;
      isWriting = false;
      flush();
    });
  };
  return {
    write(line) {
      const size = Buffer.byteLength(line);
      if (waitingBytes + size > maxWaitingBytes) {
        dropped++;
        return;
      }
      waiting.push(line);
      waitingBytes += size;
      if (!isWriting && waiting.length === 1) setImmediate(flush);
    },
    takeDropped() {
      const count = dropped;
      dropped = 0;
      return count;
    },
    get waitingBytes() {
      return waitingBytes;
    },
  };
}

function writeToStdout(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(process.stdout.fd, bytes, 0, bytes.length, null, (error, written) => {
    // A pipe that was set to not block asks to be tried again.
    if (error?.code === 'EAGAIN') setTimeout(() => done(null, 0), 10);
    else done(error, written);
  });
}
