import type {ServerResponse} from 'node:http';
import {appendChunk} from '@sardinestile/memory';
import type {Clock} from '@sardinestile/types';
import type {MemoryAccount} from '../memory/memory_budget.js';

/**
 * Bytes that are gathered at most before they are written: the buffer of a connection, from
 * which on a caller counts as behind.
 */
const MAX_GATHERED_BYTES = 16_384;

/** Delays of the events of one stream. */
export interface StreamDelays {
  /** Longest time between the arrivals of two events, across attempts; undefined below two. */
  longestPauseMs: number | undefined;
  /**
   * Longest time for which the caller's connection was behind: from the arrival of the first
   * event that it did not take until it had taken all.
   */
  longestWaitMs: number | undefined;
}

/** Writes the response of a call as it arrives, and measures how long the caller leaves it unread. */
export interface CallerOutput {
  /** Bytes that the caller's connection has not taken. */
  readonly unreadBytes: number;
  /** Bytes of the response's body that were written. */
  readonly writtenBytes: number;
  /** Records the arrival of an event with data. */
  recordEvent(nowMs: number): void;
  /** Writes bytes that arrived at a time, joined with others of the same read. */
  write(bytes: Buffer, arrivedAtMs: number): void;
  /** Writes the rest of the body, all of it if it was held, and ends the response. */
  end(parts?: readonly Buffer[]): void;
  /** Calls back when the caller's connection has taken everything; replaces an earlier callback. */
  onceTaken(callback: () => void): void;
  /** Returns the delays so far; an event that still waits counts with its wait until now. */
  delays(nowMs: number): StreamDelays;
}

/**
 * Creates the output of a response to which nothing was written. A pending write takes
 * hundreds of bytes of heap, whatever its length, so that small ones are joined: those of one
 * read, and those that arrive while the caller's connection has not taken the ones before.
 * Bytes are counted only while the connection is behind: a callback for each write would cost
 * half as much processor time as the event itself, and up to the limit of the connection's
 * buffer they are few.
 */
export function createCallerOutput(
  response: ServerResponse,
  account: MemoryAccount,
  clock: Clock,
): CallerOutput {
  /** Arrival of the oldest write that the connection did not take at once; undefined if it took all. */
  let behindSinceMs: number | undefined;
  let lastEventAtMs: number | undefined;
  let longestPauseMs: number | undefined;
  let longestWaitMs: number | undefined;
  let notifyTaken: (() => void) | undefined;
  let writtenBytes = 0;
  /** Bytes that are to be written together, and the arrival of the first of them. */
  let gathered: Buffer[] = [];
  let gatheredBytes = 0;
  let gatheredSinceMs: number | undefined;
  let isWriteScheduled = false;
  /** Whether a write waits behind others that the connection has not taken. */
  let isWriteQueued = false;

  const unreadBytes = () => response.writableLength + gatheredBytes;
  const recordWait = (nowMs: number) => {
    const waitMs = behindSinceMs === undefined ? 0 : nowMs - behindSinceMs;
    longestWaitMs = Math.max(longestWaitMs ?? 0, waitMs);
  };
  const onDrain = () => {
    recordWait(clock.monotonicMs());
    behindSinceMs = undefined;
    account.set('unreadResponse', 0);
    const notify = notifyTaken;
    notifyTaken = undefined;
    notify?.();
  };
  const takeGathered = () => {
    const bytes = gathered.length === 1 ? gathered[0] : Buffer.concat(gathered);
    gathered = [];
    gatheredBytes = 0;
    return bytes;
  };
  const writeGathered = () => {
    if (gatheredBytes === 0 || response.destroyed) return;
    const arrivedAtMs = gatheredSinceMs ?? clock.monotonicMs();
    gatheredSinceMs = undefined;
    let onTaken: (() => void) | undefined;
    if (response.writableLength > 0) {
      isWriteQueued = true;
      onTaken = () => {
        isWriteQueued = false;
        writeGathered();
      };
    }
    const hasRoom = response.write(takeGathered(), onTaken);
    if (hasRoom && behindSinceMs === undefined) return;
    if (behindSinceMs === undefined) {
      behindSinceMs = arrivedAtMs;
      response.once('drain', onDrain);
    }
    account.set('unreadResponse', unreadBytes());
  };
  const scheduleWrite = () => {
    if (isWriteScheduled || isWriteQueued) return;
    isWriteScheduled = true;
    process.nextTick(() => {
      isWriteScheduled = false;
      if (!isWriteQueued) writeGathered();
    });
  };
  return {
    get unreadBytes() {
      return unreadBytes();
    },
    get writtenBytes() {
      return writtenBytes;
    },
    recordEvent(nowMs) {
      if (lastEventAtMs !== undefined) {
        longestPauseMs = Math.max(longestPauseMs ?? 0, nowMs - lastEventAtMs);
      }
      lastEventAtMs = nowMs;
    },
    write(bytes, arrivedAtMs) {
      longestWaitMs ??= 0;
      writtenBytes += bytes.length;
      gatheredSinceMs ??= arrivedAtMs;
      appendChunk(gathered, bytes);
      gatheredBytes += bytes.length;
      if (gatheredBytes >= MAX_GATHERED_BYTES) writeGathered();
      else scheduleWrite();
    },
    end(parts = []) {
      writeGathered();
      const bodyBytes = parts.reduce((sum, part) => sum + part.length, 0);
      writtenBytes += bodyBytes;
      if (bodyBytes > 0) account.set('unreadResponse', bodyBytes);
      // A copy of the whole would take its memory twice.
      for (const part of parts.slice(0, -1)) response.write(part);
      response.end(parts.at(-1));
    },
    onceTaken(callback) {
      writeGathered();
      notifyTaken = callback;
      if (behindSinceMs !== undefined) return;
      // Reading stopped for the sake of other connections, while this one is not behind.
      behindSinceMs = clock.monotonicMs();
      setImmediate(onDrain);
    },
    delays(nowMs) {
      if (behindSinceMs !== undefined) recordWait(nowMs);
      return {longestPauseMs, longestWaitMs};
    },
  };
}
