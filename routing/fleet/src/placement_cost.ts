import {z} from 'zod';

/**
 * Cost of a request or stream that misses its target. All costs are in
 * milliseconds of waiting at a target of `REFERENCE_TARGET_MS` or less.
 */
export const LATE_COST_MS = 600;

/** Longest target at which a millisecond of waiting has its full cost. */
const REFERENCE_TARGET_MS = 500;

/** Steepness of the lateness curve, and the share of the target at its centre. */
const LATENESS_STEEPNESS = 8;
const LATENESS_CENTRE = 0.9;

/** Schema of ResourceCosts, with the defaults. */
export const resourceCostsSchema = z.object({
  /**
   * Cost of copying cached prompt parts between engines, in milliseconds of
   * waiting for 1,000 tokens. Beside the time of the copy it stands for the
   * traffic and for the memory that the copy occupies.
   */
  copyMsPerThousandTokens: z.number().nonnegative().default(12),
  /**
   * Cost of recomputing shared prompt parts, in milliseconds of waiting for
   * 1,000 tokens. Beside the time of the prefill it stands for the processing
   * that other requests then have to do without.
   */
  recomputeMsPerThousandTokens: z.number().nonnegative().default(60),
});

/** Costs of the resources that a placement uses, as the deployment states them. */
export type ResourceCosts = z.infer<typeof resourceCostsSchema>;

/** Costs for a deployment that states none. */
export const DEFAULT_RESOURCE_COSTS: ResourceCosts = resourceCostsSchema.parse(
  {},
);

/** Resources that a placement uses, in prompt tokens. */
export interface PlacementResources {
  copiedTokens: number;
  /** Tokens of shared parts that are neither cached nor copied. */
  recomputedTokens: number;
}

/** Returns the cost of the resources in milliseconds of waiting. */
export function resourceCostMs(
  costs: ResourceCosts,
  {copiedTokens, recomputedTokens}: PlacementResources,
): number {
  return (
    (costs.copyMsPerThousandTokens * copiedTokens +
      costs.recomputeMsPerThousandTokens * recomputedTokens) /
    1_000
  );
}

/**
 * Returns the cost of the time to the first event. With a loose target, time
 * costs little as long as the target is met, so that a request waits for the
 * engine that has its prompt rather than have the prompt copied.
 */
export function firstEventCostMs(
  firstEventMs: number,
  targetMs: number,
): number {
  const weight = Math.min(1, REFERENCE_TARGET_MS / targetMs);
  return (
    weight * firstEventMs +
    LATE_COST_MS * latenessProbability(firstEventMs, targetMs)
  );
}

/** Probability that a request misses its target, 0 to 1: a logistic curve. */
function latenessProbability(firstEventMs: number, targetMs: number): number {
  const offset = firstEventMs / targetMs - LATENESS_CENTRE;
  return 1 / (1 + Math.exp(-LATENESS_STEEPNESS * offset));
}
