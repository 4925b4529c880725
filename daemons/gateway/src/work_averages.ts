/** Weight of the newest request. */
const WEIGHT = 0.05;

/** Moving averages of expected work, by route. */
export interface WorkAverages {
  /** Adds a request's work and returns its route's new average. */
  observe(route: string, workMs: number): number;
}

/** Creates averages; a route's first request sets its average. */
export function createWorkAverages(): WorkAverages {
  const averages = new Map<string, number>();
  return {
    observe(route, workMs) {
      const known = averages.get(route) ?? workMs;
      const next = known + WEIGHT * (workMs - known);
      averages.set(route, next);
      return next;
    },
  };
}
