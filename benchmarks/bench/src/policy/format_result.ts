import type {BoundCheck} from './bounds.js';
import type {ScenarioResult} from './run_scenario.js';

/** Formats the results of a run as one line. */
export function formatResult(result: ScenarioResult): string {
  const classes = result.classes.map(metrics => {
    const attained = percent(metrics.attained / Math.max(1, metrics.offered));
    const {requestClass, offered, refused, late} = metrics;
    return `${requestClass} ${attained} of ${offered} (refused ${refused}, late ${late})`;
  });
  return [
    result.policy.padEnd(14),
    `goodput ${percent(result.goodputRatio)}`,
    `wasted ${percent(result.wastedTokenFraction)}`,
    `worst ${result.overallWorstServedRatio.toFixed(2)}`,
    ...classes,
  ].join('  ');
}

/** Formats the check of a bound as one line. */
export function formatBoundCheck(check: BoundCheck): string {
  const verdict = check.isMet ? 'met    ' : 'NOT MET';
  return `    ${verdict} ${check.name}: ${check.measuredText}`;
}

function percent(fraction: number): string {
  return `${(100 * fraction).toFixed(1)}%`;
}
