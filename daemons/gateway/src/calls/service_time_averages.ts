/** Weight of the newest request. */
const WEIGHT = 0.05;

/** Typical service times by route: moving averages, in ms. */
export interface ServiceTimeAverages {
  /** Adds a request's service time; returns its route's typical service time. */
  observe(route: string, serviceTimeMs: number): number;
}

/** Creates averages; a route's first request sets its typical service time. */
export function createServiceTimeAverages(): ServiceTimeAverages {
  const averages = new Map<string, number>();
  return {
    observe(route, serviceTimeMs) {
      const known = averages.get(route) ?? serviceTimeMs;
      const next = known + WEIGHT * (serviceTimeMs - known);
      averages.set(route, next);
      return next;
    },
  };
}
