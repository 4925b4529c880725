/**
 * Share of the allowed retries that a gateway uses. The rest is a margin,
 * because windows that are measured elsewhere start and end at other times.
 */
const USED_SHARE = 0.8;

/** Limits retries to one service in a sliding time window. */
export interface ServiceRetryBudget {
  /** Records a request of a caller, not counting its retries. */
  recordRequest(nowMs: number): void;
  /** Takes one retry; returns false if the window has none left. */
  tryTakeRetry(nowMs: number): boolean;
  /** Returns how many retries are left in the window that ends now. */
  retriesLeft(nowMs: number): number;
}

/** Options for createServiceRetryBudget. They are read at each use of the budget. */
export interface ServiceRetryBudgetOptions {
  /** Retries allowed for each request in the window. */
  retryRatio: () => number;
  windowMs: () => number;
  /** Retries allowed in a window in addition to the ratio. */
  extraRetries: () => number;
}

/** Creates a budget whose window is empty. */
export function createServiceRetryBudget(
  options: ServiceRetryBudgetOptions,
): ServiceRetryBudget {
  const {retryRatio, windowMs, extraRetries} = options;
  const requestTimesMs: number[] = [];
  const retryTimesMs: number[] = [];
  const dropExpired = (nowMs: number) => {
    const windowStartMs = nowMs - windowMs();
    while (requestTimesMs.length > 0 && requestTimesMs[0] <= windowStartMs) {
      requestTimesMs.shift();
    }
    while (retryTimesMs.length > 0 && retryTimesMs[0] <= windowStartMs) {
      retryTimesMs.shift();
    }
  };
  const retriesLeft = (nowMs: number) => {
    dropExpired(nowMs);
    const allowed = retryRatio() * requestTimesMs.length + extraRetries();
    return Math.floor(USED_SHARE * allowed) - retryTimesMs.length;
  };
  return {
    recordRequest(nowMs) {
      requestTimesMs.push(nowMs);
    },
    tryTakeRetry(nowMs) {
      if (retriesLeft(nowMs) <= 0) return false;
      retryTimesMs.push(nowMs);
      return true;
    },
    retriesLeft,
  };
}
