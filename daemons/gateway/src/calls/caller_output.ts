import type {ServerResponse} from 'node:http';
import type {Clock} from '@sardinestile/types';
import type {MemoryAccount} from '../memory/memory_budget.js';

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
  /** Bytes that were written and that the caller's connection has not taken. */
  readonly unreadBytes: number;
  /** Bytes of the response's body that were written. */
  readonly writtenBytes: number;
  /** Records the arrival of an event with data. */
  recordEvent(nowMs: number): void;
  /** Writes bytes that arrived at a time. */
  write(bytes: Buffer, arrivedAtMs: number): void;
  /** Writes a whole body that was held, and ends the response. */
  end(parts: readonly Buffer[]): void;
  /** Calls back when the caller's connection has taken everything; replaces an earlier callback. */
  onceTaken(callback: () => void): void;
  /** Returns the delays so far; an event that still waits counts with its wait until now. */
  delays(nowMs: number): StreamDelays;
}

/**
 * Creates the output of a response to which nothing was written. Bytes are counted only
 * while the caller's connection is behind: a callback for each write would cost half as
 * much processor time as the event itself, and up to the limit of the connection's buffer
 * they are few.
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
  return {
    get unreadBytes() {
      return response.writableLength;
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
      if (response.write(bytes) && behindSinceMs === undefined) return;
      if (behindSinceMs === undefined) {
        behindSinceMs = arrivedAtMs;
        response.once('drain', onDrain);
      }
      account.set('unreadResponse', response.writableLength);
    },
    end(parts) {
      const bodyBytes = parts.reduce((sum, part) => sum + part.length, 0);
      writtenBytes += bodyBytes;
      account.set('unreadResponse', bodyBytes);
      // A copy of the whole would take its memory twice.
      for (const part of parts.slice(0, -1)) response.write(part);
      response.end(parts.at(-1));
    },
    onceTaken(callback) {
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
