import type {ServerResponse} from 'node:http';
import type {Clock} from '@sardinestile/types';
import type {MemoryAccount} from '../memory/memory_budget.js';

/** Delays of the events of one stream. */
export interface StreamDelays {
  /** Longest time between the arrivals of two events, across attempts; undefined below two. */
  longestPauseMs: number | undefined;
  /** Longest time from the arrival of an event until the caller's connection took it. */
  longestWaitMs: number | undefined;
}

/** Writes the response of a call as it arrives, and measures how long the caller leaves it unread. */
export interface CallerOutput {
  /** Bytes that were written and that the caller's connection has not taken. */
  readonly unreadBytes: number;
  /** Records the arrival of an event with data. */
  recordEvent(nowMs: number): void;
  /** Writes bytes that arrived at a time. */
  write(bytes: Buffer, arrivedAtMs: number): void;
  /** Calls back when the caller's connection has taken everything; replaces an earlier callback. */
  onceTaken(callback: () => void): void;
  /** Returns the delays so far; an event that still waits counts with its wait until now. */
  delays(nowMs: number): StreamDelays;
}

/** Creates the output of a response to which nothing was written. */
export function createCallerOutput(
  response: ServerResponse,
  account: MemoryAccount,
  clock: Clock,
): CallerOutput {
  /** Sizes and times of arrival of the writes that were not taken, oldest first. */
  const sizes: number[] = [];
  const arrivalsMs: number[] = [];
  let unreadBytes = 0;
  let lastEventAtMs: number | undefined;
  let longestPauseMs: number | undefined;
  let longestWaitMs: number | undefined;
  let notifyTaken: (() => void) | undefined;

  const recordWait = (waitMs: number) => {
    if (longestWaitMs === undefined || waitMs > longestWaitMs) {
      longestWaitMs = waitMs;
    }
  };
  // One function for all writes: Node.js then handles those of a turn together.
  const onTaken = (error?: Error | null) => {
    const bytes = sizes.shift() ?? 0;
    const arrivedAtMs = arrivalsMs.shift() ?? 0;
    unreadBytes -= bytes;
    account.set('unreadResponse', unreadBytes);
    if (error) return;
    recordWait(clock.monotonicMs() - arrivedAtMs);
    if (unreadBytes > 0 || !notifyTaken) return;
    const notify = notifyTaken;
    notifyTaken = undefined;
    notify();
  };
  return {
    get unreadBytes() {
      return unreadBytes;
    },
    recordEvent(nowMs) {
      if (lastEventAtMs !== undefined) {
        longestPauseMs = Math.max(longestPauseMs ?? 0, nowMs - lastEventAtMs);
      }
      lastEventAtMs = nowMs;
    },
    write(bytes, arrivedAtMs) {
      sizes.push(bytes.length);
      arrivalsMs.push(arrivedAtMs);
      unreadBytes += bytes.length;
      response.write(bytes, onTaken);
      account.set('unreadResponse', unreadBytes);
    },
    onceTaken(callback) {
      notifyTaken = callback;
    },
    delays(nowMs) {
      if (arrivalsMs.length > 0) recordWait(nowMs - arrivalsMs[0]);
      return {longestPauseMs, longestWaitMs};
    },
  };
}
