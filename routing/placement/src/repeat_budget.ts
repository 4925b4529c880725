/** Share of the budget that one gateway uses, since windows of others slide differently. */
const USED_SHARE = 0.8;

/** Limits second sends to one service in any window of a given length. */
export interface RepeatBudget {
  /** Notes a caller's request. */
  recordRequest(nowMs: number): void;
  /** Takes one second send; false when the budget of the window is spent. */
  takeRepeat(nowMs: number): boolean;
  /** Second sends that are left now. */
  left(nowMs: number): number;
}

/** What a budget allows. */
export interface RepeatBudgetOptions {
  /** Second sends allowed for each request of the window. */
  ratio: () => number;
  windowMs: () => number;
  /** Second sends allowed in a window beyond the ratio. */
  allowance: () => number;
}

/** Makes a full budget. */
export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const {ratio, windowMs, allowance} = options;
  const requestTimes: number[] = [];
  const repeatTimes: number[] = [];
  const expire = (nowMs: number) => {
    const oldestMs = nowMs - windowMs();
    while (requestTimes.length > 0 && requestTimes[0] <= oldestMs) {
      requestTimes.shift();
    }
    while (repeatTimes.length > 0 && repeatTimes[0] <= oldestMs) {
      repeatTimes.shift();
    }
  };
  const left = (nowMs: number) => {
    expire(nowMs);
    const allowed = ratio() * requestTimes.length + allowance();
    return Math.floor(USED_SHARE * allowed) - repeatTimes.length;
  };
  return {
    recordRequest(nowMs) {
      requestTimes.push(nowMs);
    },
    takeRepeat(nowMs) {
      if (left(nowMs) <= 0) return false;
      repeatTimes.push(nowMs);
      return true;
    },
    left,
  };
}
