import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {MemoryBudget, MemoryStep} from './memory_budget.js';

/** Logs the steps that a process takes under memory pressure. */
export interface MemoryWatch {
  /** Logs a change of the step; called at intervals. */
  check(): void;
}

/** Creates a watch of a budget. */
export function createMemoryWatch(
  budget: MemoryBudget,
  logger: Logger,
  metrics: MetricsRegistry,
): MemoryWatch {
  let lastStep: MemoryStep = 'none';
  return {
    check() {
      const step = budget.step();
      if (step === lastStep) return;
      lastStep = step;
      metrics.increment('sardinestile_memory_steps_total', {step});
      logger.warn('memory_step_changed', {
        step,
        heldBytes: budget.heldBytes,
        limitBytes: budget.limitBytes,
        residentBytes: budget.residentBytes,
        ...budget.heldByKind(),
      });
    },
  };
}
