/** Service tier of a request class; 0 is the highest. */
export type Tier = number;

/** Number of service tiers that the operators' configuration may use. */
export const TIER_COUNT = 3;
