/** Retries that each request adds to the budget. */
const RETRY_RATIO = 0.1;

/** Maximum number of retries that the budget holds. */
const MAX_SAVED_RETRIES = 20;

/**
 * Token bucket that limits retries to a share of the requests, so that an
 * outage does not cause a retry storm.
 */
export interface EntryRetryBudget {
  /** Records the first attempt of a request, which adds to the budget. */
  recordRequest(): void;
  /** Takes one retry; returns false if the budget is empty. */
  tryTakeRetry(): boolean;
  /** Retries left; may be a fraction. */
  readonly savedRetries: number;
}

/** Creates a full budget. */
export function createEntryRetryBudget(): EntryRetryBudget {
  let savedRetries = MAX_SAVED_RETRIES;
  return {
    recordRequest() {
      savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRY_RATIO);
    },
    tryTakeRetry() {
      if (savedRetries < 1) return false;
      savedRetries--;
      return true;
    },
    get savedRetries() {
      return savedRetries;
    },
  };
}
