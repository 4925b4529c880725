import type {Socket} from 'node:net';
import {createSliceSize, type InputPacer} from '@sardinestile/connections';

/**
 * Bytes that may be parsed without the head of a final response or a part of its body: heads of
 * interim responses, extensions of chunks, empty lines. Four heads of the greatest size.
 */
export const MAX_BYTES_WITHOUT_PROGRESS = 65_536;

/** Code of the error that ends a connection without progress. */
export const NO_PROGRESS_CODE = 'ERR_NO_PROGRESS';

/** Error of a connection on which an upstream sends bytes that belong to no response. */
export class NoProgressError extends Error {
  readonly code = NO_PROGRESS_CODE;

  constructor() {
    super(
      `the upstream sent more than ${MAX_BYTES_WITHOUT_PROGRESS} bytes without a part of a response`,
    );
    this.name = 'NoProgressError';
  }
}

/** Progress of the responses on a connection. */
export interface ResponseProgress {
  /** Records a new request, the head of its final response or a part of its body. */
  record(): void;
}

/**
 * Lets a pacer decide when what a connected socket has read is parsed by undici, which reads
 * until the socket returns nothing, and ends the socket with a `NoProgressError` if it carries
 * too much without progress. Progress is only expected once it was recorded for the first time.
 */
export function paceResponses(
  socket: Socket,
  pacer: InputPacer,
): ResponseProgress {
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  const sliceSize = createSliceSize();
  let isWaiting = false;
  /** Whether the pacer has given the connection a turn that it has not used. */
  let hasTurn = false;
  /** The slice that is being parsed. */
  let slice: {bytes: number; startedAtMs: number} | undefined;
  /** Time for which slices were parsed since the parser was called, in milliseconds. */
  let readMs = 0;
  let isTickScheduled = false;
  let bytesWithoutProgress = -Infinity;

  const stopWaiting = () => {
    isWaiting = false;
    place.leave();
  };
  const place = pacer.open({
    get waitingBytes() {
      return socket.readableLength;
    },
    parseNext() {
      if (socket.destroyed) {
        stopWaiting();
        return;
      }
      hasTurn = true;
      socket.emit('readable');
      // The parser has stopped reading, or has read everything.
      if (hasTurn || socket.readableLength === 0) stopWaiting();
      hasTurn = false;
      endSlice();
    },
    shed() {
      place.leave();
      socket.destroy(new Error('too much input waits to be parsed'));
    },
  });
  const endSlice = () => {
    if (!slice) return;
    const usedMs = performance.now() - slice.startedAtMs;
    place.recordUse(usedMs);
    sliceSize.adapt(slice.bytes, usedMs);
    readMs += usedMs;
    slice = undefined;
  };
  /** Ends the last slice of a call of the parser, with the writes that it has caused. */
  const scheduleEnd = () => {
    if (isTickScheduled) return;
    isTickScheduled = true;
    process.nextTick(() => {
      isTickScheduled = false;
      endSlice();
      readMs = 0;
    });
  };
  const mustWait = () => {
    if (hasTurn) return false;
    if (isWaiting) return true;
    isWaiting = place.mustWait(readMs);
    if (isWaiting) place.wait();
    return isWaiting;
  };
  socket.read = (size?: number) => {
    // Streams call it with 0 to fill their buffer.
    if (size === 0) return read(size);
    endSlice();
    if (socket.readableLength === 0) return read(size);
    if (bytesWithoutProgress > MAX_BYTES_WITHOUT_PROGRESS) {
      socket.destroy(new NoProgressError());
      return null;
    }
    if (mustWait()) return null;
    hasTurn = false;
    const bytes = read(Math.min(sliceSize.bytes, socket.readableLength));
    if (bytes === null) return null;
    bytesWithoutProgress += bytes.length;
    slice = {bytes: bytes.length, startedAtMs: performance.now()};
    scheduleEnd();
    return bytes;
  };
  socket.once('close', () => place.leave());
  return {
    record() {
      bytesWithoutProgress = 0;
    },
  };
}
