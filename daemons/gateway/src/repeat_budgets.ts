import {createRepeatBudget, type RepeatBudget} from '@sardinestile/placement';

/** Budgets of second sends by service. */
export interface RepeatBudgets {
  of(service: string): RepeatBudget;
}

/** How much may be sent again, fleet-wide. */
export interface RepeatBudgetsOptions {
  ratio: () => number;
  windowMs: () => number;
  /** This gateway's part of what is allowed beyond the ratio. */
  allowance: () => number;
}

/** Makes a full budget for each service when it is first asked for. */
export function createRepeatBudgets(
  options: RepeatBudgetsOptions,
): RepeatBudgets {
  const budgets = new Map<string, RepeatBudget>();
  return {
    of(service) {
      let budget = budgets.get(service);
      if (!budget) budgets.set(service, (budget = createRepeatBudget(options)));
      return budget;
    },
  };
}
