import type {Socket} from 'node:net';
import type {InputPacer} from './input_pacer.js';
import {createSliceSize} from './slice_size.js';

/**
 * Lets a pacer decide when what a socket of an HTTP server has read is parsed. Has to be called
 * when the server has accepted the connection, before anything was read. `shed` closes it.
 */
export function paceInput(
  socket: Socket,
  pacer: InputPacer,
  shed: () => void,
): void {
  const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
  const pause = socket.pause.bind(socket);
  const resume = socket.resume.bind(socket);
  const sliceSize = createSliceSize();
  let isWaiting = false;
  /** Whether node:http has stopped reading, for a body or a response that is not taken. */
  let isStopped = false;
  /** Whether the pacer has given the connection its turn. */
  let isTurn = false;

  const stopWaiting = () => {
    isWaiting = false;
    place.leave();
    if (!isStopped) resume();
  };
  const place = pacer.open({
    get waitingBytes() {
      return socket.readableLength;
    },
    parseNext() {
      const bytes = Math.min(sliceSize.bytes, socket.readableLength);
      if (bytes === 0 || isStopped) {
        stopWaiting();
        return;
      }
      isTurn = true;
      try {
        // A read emits the data that it returns.
        socket.read(bytes);
      } finally {
        isTurn = false;
      }
    },
    shed() {
      place.leave();
      shed();
    },
  });
  /** Parses a slice; returns the time that it took, in milliseconds. */
  const parseSlice = (slice: Buffer): number => {
    const startMs = performance.now();
    parse(slice);
    const usedMs = performance.now() - startMs;
    place.recordUse(usedMs);
    sliceSize.adapt(slice.length, usedMs);
    return usedMs;
  };
  /** Whether what has been read is still to be parsed. */
  const mayParse = () =>
    !isStopped &&
    !socket.destroyed &&
    socket.listeners('data').includes(onData);
  const onData = (bytes: Buffer) => {
    if (isTurn) {
      parseSlice(bytes);
      return;
    }
    let offset = 0;
    let readMs = 0;
    let mustWait = place.mustWait(readMs);
    while (!mustWait && offset < bytes.length && mayParse()) {
      const end = offset + sliceSize.bytes;
      readMs += parseSlice(bytes.subarray(offset, end));
      offset = end;
      mustWait = place.mustWait(readMs);
    }
    if (offset >= bytes.length || socket.destroyed) return;
    if (!isStopped && !mayParse()) return;
    // Bytes that are put back while data flows would be emitted at once.
    pause();
    socket.unshift(bytes.subarray(offset));
    if (isStopped) return;
    isWaiting = true;
    place.wait();
  };
  // node:http reads past this stream until there is a listener of its own.
  socket.on('data', onData);
  socket.off('data', parse);
  socket.pause = () => {
    isStopped = true;
    return pause();
  };
  socket.resume = () => {
    isStopped = false;
    return isWaiting ? socket : resume();
  };
  socket.once('close', () => place.leave());
}
