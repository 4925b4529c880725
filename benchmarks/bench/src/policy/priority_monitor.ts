import type {SchedulerCommand} from '@sardinestile/scheduler';
import type {VirtualAttempt} from './virtual_engine.js';

/** Counts of scheduler decisions that violated the priority of tiers. */
export interface PriorityViolations {
  /** Refusals while a request of a lower tier waited at the same engine. */
  refusedWhileLowerWaits: number;
  /** Refusals of requests that were overtaken by a request of a lower tier. */
  refusedAfterOvertaken: number;
  /** Preemptions while no request of a higher tier waited. */
  preemptedForNoHigher: number;
}

/**
 * Checks the commands of schedulers against the priority of tiers, whatever the
 * scheduler's implementation. A lower tier number is a higher priority.
 */
export interface PriorityMonitor {
  readonly violations: PriorityViolations;
  observeArrival(engineId: string, attempt: VirtualAttempt): void;
  observeCommand(
    engineId: string,
    attempt: VirtualAttempt,
    kind: SchedulerCommand['kind'],
    nowMs: number,
  ): void;
  /** Observes that an attempt ended or was withdrawn. */
  observeRemoval(engineId: string, attempt: VirtualAttempt): void;
}

/** Attempts that wait at one engine. */
interface EngineQueue {
  waiting: Set<VirtualAttempt>;
  /** Waiting attempts that were overtaken by an attempt of a lower tier. */
  overtaken: Set<VirtualAttempt>;
}

/** Creates a monitor without observations. */
export function createPriorityMonitor(): PriorityMonitor {
  const queues = new Map<string, EngineQueue>();
  const violations: PriorityViolations = {
    refusedWhileLowerWaits: 0,
    refusedAfterOvertaken: 0,
    preemptedForNoHigher: 0,
  };
  const queueOf = (engineId: string) => {
    let queue = queues.get(engineId);
    if (!queue) {
      queue = {waiting: new Set(), overtaken: new Set()};
      queues.set(engineId, queue);
    }
    return queue;
  };
  const tierOf = (attempt: VirtualAttempt) => attempt.request.requestClass.tier;

  const commandObservers: Record<
    SchedulerCommand['kind'],
    (queue: EngineQueue, attempt: VirtualAttempt) => void
  > = {
    offer(queue, attempt) {
      queue.waiting.delete(attempt);
      queue.overtaken.delete(attempt);
      for (const other of queue.waiting) {
        if (tierOf(other) < tierOf(attempt)) queue.overtaken.add(other);
      }
    },
    refuse(queue, attempt) {
      queue.waiting.delete(attempt);
      if (queue.overtaken.delete(attempt)) violations.refusedAfterOvertaken++;
      for (const other of queue.waiting) {
        if (tierOf(other) <= tierOf(attempt)) continue;
        violations.refusedWhileLowerWaits++;
        break;
      }
    },
    preempt(queue, attempt) {
      const isHigherTierWaiting = [...queue.waiting].some(
        other => tierOf(other) < tierOf(attempt),
      );
      if (!isHigherTierWaiting) violations.preemptedForNoHigher++;
      queue.waiting.add(attempt);
    },
  };
  return {
    violations,
    observeArrival: (engineId, attempt) =>
      queueOf(engineId).waiting.add(attempt),
    observeCommand: (engineId, attempt, kind) =>
      commandObservers[kind](queueOf(engineId), attempt),
    observeRemoval(engineId, attempt) {
      const queue = queueOf(engineId);
      queue.waiting.delete(attempt);
      queue.overtaken.delete(attempt);
    },
  };
}
