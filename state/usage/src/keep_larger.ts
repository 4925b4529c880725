import type {UsageSums} from './usage_sums.js';

/**
 * Returns the larger sums of each organisation. The counts of a source in a
 * window only rise, so the larger ones are the newer ones.
 */
export function keepLarger(one: UsageSums, other: UsageSums): UsageSums {
  const larger: UsageSums = new Map(one);
  for (const [organisation, usage] of other) {
    const prior = larger.get(organisation);
    if (!prior || prior.requests < usage.requests) {
      larger.set(organisation, usage);
    }
  }
  return larger;
}
