import type {ScenarioResult} from './run_scenario.js';

/** Minimum fraction of the top tier's requests that meet their targets. */
const MIN_TOP_TIER_ATTAINMENT = 0.95;

/** Minimum goodput relative to a clairvoyant router's, at 2x and 4x demand. */
const MIN_GOODPUT_RATIO = 0.95;

/** Maximum fraction of output tokens in responses that missed their targets. */
const MAX_WASTED_TOKEN_FRACTION = 0.02;

/**
 * Minimum service of the worst-served organisation during a flood, relative to
 * its fair share.
 */
const MIN_WORST_SERVED_RATIO = 0.8;

/** Result of checking a run against one bound. */
export interface BoundCheck {
  name: string;
  isMet: boolean;
  /** The measured value, formatted for display. */
  measuredText: string;
}

/** A requirement on the results of the scenarios to which it applies. */
interface Bound {
  name: string;
  appliesTo(result: ScenarioResult): boolean;
  isMet(result: ScenarioResult): boolean;
  formatMeasured(result: ScenarioResult): string;
}

/** Scenarios in which the bound on goodput applies. */
const OVERLOAD_SCENARIO_NAMES: ReadonlySet<string> = new Set([
  'top_burst_4x',
  'middle_burst_4x',
  'all_2x',
]);

const BOUNDS: readonly Bound[] = [
  {
    name: 'the top tier meets its targets for 95 in 100',
    appliesTo: ({scenario}) => scenario.isTopTierWithinCapacity,
    isMet: result => topTierAttainment(result) >= MIN_TOP_TIER_ATTAINMENT,
    formatMeasured: result =>
      `${(100 * topTierAttainment(result)).toFixed(1)}%`,
  },
  {
    name: 'no higher tier is shed or preempted for a lower one',
    appliesTo: () => true,
    isMet: ({violations}) =>
      Object.values(violations).every(count => count === 0),
    formatMeasured: ({violations}) => JSON.stringify(violations),
  },
  {
    name: 'no class gets less than its minimum share while it waits',
    appliesTo: () => true,
    isMet: ({classShares}) =>
      classShares.every(share => share.windowsBelowMinShare === 0),
    formatMeasured: ({classShares}) =>
      classShares
        .map(share => `${share.windowsBelowMinShare}/${share.waitingWindows}`)
        .join(' '),
  },
  {
    name: 'goodput is at least 95% of the clairvoyant',
    appliesTo: ({scenario}) => OVERLOAD_SCENARIO_NAMES.has(scenario.name),
    isMet: ({goodputRatio}) => goodputRatio >= MIN_GOODPUT_RATIO,
    formatMeasured: ({goodputRatio}) => `${(100 * goodputRatio).toFixed(1)}%`,
  },
  {
    name: 'wasted tokens are at most 2%',
    appliesTo: () => true,
    isMet: ({wastedTokenFraction}) =>
      wastedTokenFraction <= MAX_WASTED_TOKEN_FRACTION,
    formatMeasured: ({wastedTokenFraction}) =>
      `${(100 * wastedTokenFraction).toFixed(2)}%`,
  },
  {
    name: 'the worst-served organisation gets 80% of its fair share',
    appliesTo: ({scenario}) => scenario.name === 'flood',
    isMet: ({overallWorstServedRatio}) =>
      overallWorstServedRatio >= MIN_WORST_SERVED_RATIO,
    formatMeasured: ({overallWorstServedRatio}) =>
      overallWorstServedRatio.toFixed(2),
  },
];

/** Checks the results of a run against all bounds that apply to its scenario. */
export function checkBounds(result: ScenarioResult): BoundCheck[] {
  return BOUNDS.filter(bound => bound.appliesTo(result)).map(bound => ({
    name: bound.name,
    isMet: bound.isMet(result),
    measuredText: bound.formatMeasured(result),
  }));
}

function topTierAttainment({classes}: ScenarioResult): number {
  const [top] = classes;
  return top.attained / Math.max(1, top.offered);
}
