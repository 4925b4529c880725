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

/** Schema of ResourceCosts. */
export const resourceCostsSchema = z.object({
  /**
   * Cost of copying cached prompt parts between engines, in milliseconds of
   * waiting for 1,000 tokens; absent for the time to prefill what they displace.
   */
  copyMsPerThousandTokens: z.number().nonnegative().optional(),
  /**
   * Cost of recomputing shared prompt parts, in milliseconds of waiting for
   * 1,000 tokens; absent for the time in which the engine prefills them and what
   * they displace.
   */
  recomputeMsPerThousandTokens: z.number().nonnegative().optional(),
});

/**
 * Costs of the resources that a placement uses, as the deployment states them. Those that
 * it does not state follow from the measured speed of the engines.
 */
export type ResourceCosts = z.infer<typeof resourceCostsSchema>;

/** Costs for a deployment that states none. */
export const DEFAULT_RESOURCE_COSTS: ResourceCosts = {
  copyMsPerThousandTokens: undefined,
  recomputeMsPerThousandTokens: undefined,
};

/** Resources that a placement uses, in prompt tokens. */
export interface PlacementResources {
  copiedTokens: number;
  /** Tokens of shared parts that are neither cached nor copied. */
  recomputedTokens: number;
  /** Returns how many cached tokens of other prompts a number of new ones displaces. */
  displacedTokens: (tokens: number) => number;
  /** Returns the time in which the engine prefills a number of tokens. */
  prefillMs: (tokens: number) => number;
}

/**
 * Returns the cost of the resources in milliseconds of waiting: the time for which other
 * requests wait for the engine, now or when displaced prompts are prefilled again.
 */
export function resourceCostMs(
  {copyMsPerThousandTokens, recomputeMsPerThousandTokens}: ResourceCosts,
  {
    copiedTokens,
    recomputedTokens,
    displacedTokens,
    prefillMs,
  }: PlacementResources,
): number {
  const costOf = (
    tokens: number,
    statedMs: number | undefined,
    measuredMs: (tokens: number) => number,
  ) => {
    if (tokens === 0) return 0;
    if (statedMs !== undefined) return (statedMs * tokens) / 1_000;
    return measuredMs(tokens) + prefillMs(displacedTokens(tokens));
  };
  return (
    costOf(copiedTokens, copyMsPerThousandTokens, () => 0) +
    costOf(recomputedTokens, recomputeMsPerThousandTokens, prefillMs)
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
