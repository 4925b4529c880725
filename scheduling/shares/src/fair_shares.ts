/** Demand of one organisation and its weight in the division. */
export interface ShareClaim {
  demand: number;
  /** Greater than 0. */
  weight: number;
}

/**
 * Divides a capacity by weighted max-min fairness: nobody gets more than its
 * demand, and what it leaves goes to the others by their weights. Returns the
 * level; the fair share of a claim is its weight times the level, or its demand if
 * that is less. Infinity if the capacity covers all demand.
 */
export function fairLevel(
  claims: readonly ShareClaim[],
  capacity: number,
): number {
  // Claims are satisfied in the order of the level that covers them.
  const ordered = [...claims].sort(
    (a, b) => a.demand / a.weight - b.demand / b.weight,
  );
  let left = capacity;
  let weight = ordered.reduce((sum, claim) => sum + claim.weight, 0);
  for (const claim of ordered) {
    const level = left / weight;
    if (claim.demand > claim.weight * level) return Math.max(0, level);
    left -= claim.demand;
    weight -= claim.weight;
  }
  return Infinity;
}
