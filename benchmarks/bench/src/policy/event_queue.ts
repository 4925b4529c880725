import {Heap} from 'heap-js';

/** A callback and the virtual time at which it runs. */
interface ScheduledEvent {
  atMs: number;
  /** Keeps events of the same time in the order in which they were scheduled. */
  sequence: number;
  run: () => void;
}

/** Queue of a discrete-event simulation in virtual time. */
export interface EventQueue {
  readonly nowMs: number;
  /** Schedules a callback; a time in the past means now. */
  schedule(atMs: number, run: () => void): void;
  /** Runs all events due by a time and advances the clock to it. */
  runUntil(endMs: number): void;
}

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
  const heap = new Heap<ScheduledEvent>(
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );
  let nowMs = 0;
  let sequence = 0;
  return {
    get nowMs() {
      return nowMs;
    },
    /** Schedules a callback; a time in the past means now. */
    schedule(atMs, run) {
      heap.push({atMs: Math.max(nowMs, atMs), sequence: sequence++, run});
    },
    runUntil(endMs) {
      for (let next = heap.peek(); next; next = heap.peek()) {
        if (next.atMs > endMs) break;
        heap.pop();
        nowMs = next.atMs;
        next.run();
      }
      nowMs = endMs;
    },
  };
}
