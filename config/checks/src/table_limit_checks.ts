import type {RouteTable} from '@sardinestile/route_table';
import type {UnlocatedWarning} from './check_finding.js';

/**
 * Checks for limits of a route table that contradict each other. Every kind of
 * route allows several attempts, as requests that were not run may be sent
 * again.
 */
export const TABLE_LIMIT_CHECKS: Readonly<
  Record<string, (table: RouteTable) => UnlocatedWarning[]>
> = {
  findTimeoutsBelowTargets,
  findUnusableResumption,
  findScalingLimits,
};

/** Targets that the timeout of a route must allow. */
const ROUTE_TARGETS = ['targetLatencyMs', 'targetGapMs'] as const;

function findTimeoutsBelowTargets({routes}: RouteTable): UnlocatedWarning[] {
  return routes.flatMap((route, index) =>
    ROUTE_TARGETS.flatMap(name => {
      const targetMs = route[name];
      if (targetMs === undefined || route.timeoutMs >= targetMs) return [];
      return [
        {
          rule: 'timeout-below-target',
          path: ['routes', index, 'timeoutMs'],
          message: `the timeout (${route.timeoutMs} ms) is below a target (${targetMs} ms)`,
        },
      ];
    }),
  );
}

function findUnusableResumption({routes}: RouteTable): UnlocatedWarning[] {
  return routes.flatMap(({isResumable, maxAttempts, kind}, index) => {
    if (!isResumable) return [];
    const path = ['routes', index, 'isResumable'];
    const rule = 'resumption-unused';
    if (kind !== 'stream') {
      return [{rule, path, message: 'only streams can be resumed'}];
    }
    if (maxAttempts > 1) return [];
    const message = 'a stream is not resumed, as only one attempt is allowed';
    return [{rule, path, message}];
  });
}

function findScalingLimits({services}: RouteTable): UnlocatedWarning[] {
  return services.flatMap(({name, scaling}, index): UnlocatedWarning[] => {
    if (!scaling) return [];
    const {minPerZone, maxPerZone} = scaling;
    const path = ['services', index, 'scaling', 'maxPerZone'];
    if (minPerZone > maxPerZone) {
      const message = `the maximum (${maxPerZone}) is below the minimum (${minPerZone})`;
      return [{rule: 'min-over-max', path, message}];
    }
    if (maxPerZone > 0) return [];
    const message = `"${name}" may have no upstreams`;
    return [{rule: 'service-without-upstreams', path, message}];
  });
}
