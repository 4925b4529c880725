import {createRepeatBudget, type RepeatBudget} from '@sardinestile/placement';

/** Retry budgets by service. */
export interface RetryBudgets {
  of(service: string): RepeatBudget;
}

/** Options for `createRetryBudgets`. */
export interface RetryBudgetsOptions {
  /** Retries that are allowed for each request of the window. */
  ratio: () => number;
  windowMs: () => number;
  /** This gateway's share of the retries that are allowed in a window beyond the ratio. */
  allowance: () => number;
}

/** Creates retry budgets; the budget of a service is created, full, at its first use. */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<string, RepeatBudget>();
  return {
    of(service) {
      let budget = budgets.get(service);
      if (!budget) budgets.set(service, (budget = createRepeatBudget(options)));
      return budget;
    },
  };
}
