import {
  createMovingAverage,
  type MovingAverage,
} from '@sardinestile/prediction';

/** Weight of the newest interval between two starts. */
const NEWEST_INTERVAL_WEIGHT = 0.05;

/** Shortest time to return: less would be written as "at once" in the header. */
const MIN_RETURN_MS = 10;

/** A refused caller that may return. */
export interface RefusedCaller {
  /** Priority rank; 0 is the most urgent. */
  urgency: number;
  /** Time until a request like this one is expected to be admitted. */
  roomAfterMs: number;
  /** Time until which the caller has to return to be answered before it leaves. */
  latestReturnMs: number;
  /** Time between two returns; by the measured rate of starts if absent. */
  intervalMs?: number;
}

/**
 * Times at which refused callers may return, by queue. Each is promised a turn of its
 * own, so that callers who were refused together do not return together: they are told
 * to come at the rate at which requests are started, the most urgent ones first.
 */
export interface ReturnSchedule {
  /** Records that a request of a queue was sent to an upstream. */
  recordStart(queue: string, nowMs: number): void;
  /** Returns the time after which a refused caller may return, in milliseconds. */
  promiseTurn(queue: string, caller: RefusedCaller, nowMs: number): number;
}

interface Queue {
  startIntervalMs: MovingAverage;
  lastStartAtMs: number | undefined;
  /** Latest turn that was promised, by urgency. */
  lastTurnAtMs: Map<number, number>;
}

/** Creates a schedule without turns. */
export function createReturnSchedule(): ReturnSchedule {
  const queues = new Map<string, Queue>();
  const queueOf = (name: string) => {
    let queue = queues.get(name);
    if (!queue) {
      queue = {
        startIntervalMs: createMovingAverage(NEWEST_INTERVAL_WEIGHT),
        lastStartAtMs: undefined,
        lastTurnAtMs: new Map(),
      };
      queues.set(name, queue);
    }
    return queue;
  };
  return {
    recordStart(name, nowMs) {
      const queue = queueOf(name);
      if (queue.lastStartAtMs !== undefined) {
        queue.startIntervalMs.add(nowMs - queue.lastStartAtMs);
      }
      queue.lastStartAtMs = nowMs;
    },
    promiseTurn(
      name,
      {urgency, roomAfterMs, latestReturnMs, intervalMs},
      nowMs,
    ) {
      const {startIntervalMs, lastTurnAtMs} = queueOf(name);
      const turnMs = intervalMs ?? startIntervalMs.value ?? 0;
      let turnAtMs = nowMs + Math.max(MIN_RETURN_MS, roomAfterMs);
      for (const [otherUrgency, lastAtMs] of lastTurnAtMs) {
        if (otherUrgency > urgency) continue;
        turnAtMs = Math.max(turnAtMs, lastAtMs + turnMs);
      }
      const returnAfterMs = turnAtMs - nowMs;
      if (returnAfterMs <= latestReturnMs) {
        lastTurnAtMs.set(urgency, turnAtMs);
        return returnAfterMs;
      }
      // Its turn comes too late, but others may have left by its last moment.
      return Math.max(MIN_RETURN_MS, roomAfterMs, latestReturnMs);
    },
  };
}
