/** Weight of one request in what is usual. */
const WEIGHT = 0.05;

/** What a usual request of each route takes. */
export interface UsualWork {
  /** Takes a request's work and returns what is usual of its route. */
  observe(route: string, workMs: number): number;
}

/** Makes an empty record. */
export function createUsualWork(): UsualWork {
  const usual = new Map<string, number>();
  return {
    observe(route, workMs) {
      const known = usual.get(route) ?? workMs;
      const next = known + WEIGHT * (workMs - known);
      usual.set(route, next);
      return next;
    },
  };
}
