import {
  createServiceRetryBudget as createBudget,
  type ServiceRetryBudget,
} from '@sardinestile/placement';

/** Retry budgets by service. */
export interface RetryBudgets {
  of(service: string): ServiceRetryBudget;
}

/** Options for `createRetryBudgets`. */
export interface RetryBudgetsOptions {
  /** Retries that are allowed for each request of the window. */
  retryRatio: () => number;
  windowMs: () => number;
  /** This gateway's share of the retries that are allowed in a window beyond the ratio. */
  extraRetries: () => number;
}

/** Creates retry budgets; the budget of a service is created, full, at its first use. */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<string, ServiceRetryBudget>();
  return {
    of(service) {
      let budget = budgets.get(service);
      if (!budget) budgets.set(service, (budget = createBudget(options)));
      return budget;
    },
  };
}
