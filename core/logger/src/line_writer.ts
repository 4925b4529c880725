import {write} from 'node:fs';

/** Limit of the bytes queued for a slow reader; further lines are dropped. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Interval at which `flush` checks whether all lines were written, in milliseconds. */
const FLUSH_CHECK_MS = 5;

/** Writes lines without blocking the event loop. */
export interface LineWriter {
  /** Queues a line, which includes its newline; drops it if the queue is full. */
  write(line: string): void;
  /** Returns the number of dropped lines since the last call. */
  takeDropped(): number;
  /** Resolves when all lines were written, or after a time limit in milliseconds. */
  flush(limitMs: number): Promise<void>;
  /** Bytes that are not written yet. */
  readonly queuedBytes: number;
}

/** Writes bytes to a file descriptor; `done` receives the number of bytes written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Options for createLineWriter. */
export interface LineWriterOptions {
  writeBytes?: WriteBytes;
  maxQueuedBytes?: number;
}

/**
 * Creates a writer to standard output. It writes in the thread pool, since a
 * write to a pipe whose reader stalls would block the event loop.
 */
export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
  const writeBytes = options.writeBytes ?? writeToStdout;
  const maxQueuedBytes = options.maxQueuedBytes ?? MAX_QUEUED_BYTES;
  const queuedLines: string[] = [];
  let queuedBytes = 0;
  let isWriting = false;
  let droppedLines = 0;

  const flush = () => {
    if (isWriting || queuedLines.length === 0) return;
    isWriting = true;
    writeAll(Buffer.from(queuedLines.splice(0).join('')));
  };
  const writeAll = (bytes: Buffer) => {
    writeBytes(bytes, (error, written) => {
      if (!error && written < bytes.length) {
        queuedBytes -= written;
        writeAll(bytes.subarray(written));
        return;
      }
      // A write error is ignored: the log has no reader to which it could be reported.
      queuedBytes -= bytes.length;
      isWriting = false;
      flush();
    });
  };
  return {
    write(line) {
      const size = Buffer.byteLength(line);
      if (queuedBytes + size > maxQueuedBytes) {
        droppedLines++;
        return;
      }
      queuedLines.push(line);
      queuedBytes += size;
      if (!isWriting && queuedLines.length === 1) setImmediate(flush);
    },
    takeDropped() {
      const count = droppedLines;
      droppedLines = 0;
      return count;
    },
    async flush(limitMs) {
      const endMs = performance.now() + limitMs;
      while (queuedBytes > 0 && performance.now() < endMs) {
        await new Promise(resolve => setTimeout(resolve, FLUSH_CHECK_MS));
      }
    },
    get queuedBytes() {
      return queuedBytes;
    },
  };
}

function writeToStdout(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(process.stdout.fd, bytes, 0, bytes.length, null, (error, written) => {
    // A full non-blocking pipe returns EAGAIN; the write is retried after a delay.
    if (error?.code === 'EAGAIN') setTimeout(() => done(null, 0), 10);
    else done(error, written);
  });
}
