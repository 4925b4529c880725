import type {Route, RouteTable} from '@sardinestile/route_table';
import type {UnlocatedWarning} from './check_finding.js';

/**
 * Checks for entries of a route table that no request can ever match, or whose
 * references lead nowhere.
 */
export const TABLE_MATCH_CHECKS: Readonly<
  Record<string, (table: RouteTable) => UnlocatedWarning[]>
> = {
  findHiddenRoutes,
  findImpossibleRoutes,
  findTargetsWithoutWeight,
  findUnroutedServices,
  findUndefinedServices,
  findUnusedKeys,
};

/** Targets of HTTP requests contain no white space, and a path ends before `?`. */
const IMPOSSIBLE_PREFIX_PATTERN = /[\s?]/;

/** The port is removed from the host of a request before the look-up. */
const HOST_WITH_PORT_PATTERN = /^[^[:]*:\d*$/;

/** If two routes have the same host and prefix, the later one is used. */
function findHiddenRoutes({routes}: RouteTable): UnlocatedWarning[] {
  const lastIndexes = new Map(
    routes.map((route, index) => [placeOf(route), index]),
  );
  return routes.flatMap((route, index) => {
    const lastIndex = lastIndexes.get(placeOf(route))!;
    if (lastIndex === index) return [];
    return [
      {
        rule: 'route-hidden',
        path: ['routes', index, 'pathPrefix'],
        message: `the route "${routes[lastIndex].name}" has the same host and prefix and hides "${route.name}"`,
      },
    ];
  });
}

function findImpossibleRoutes({routes}: RouteTable): UnlocatedWarning[] {
  return routes.flatMap(({host, pathPrefix}, index) => {
    const findings: UnlocatedWarning[] = [];
    const rule = 'route-never-matches';
    if (HOST_WITH_PORT_PATTERN.test(host)) {
      const message = `"${host}" has a port, which is not compared`;
      findings.push({rule, path: ['routes', index, 'host'], message});
    }
    if (IMPOSSIBLE_PREFIX_PATTERN.test(pathPrefix)) {
      const message = `no request path begins with "${pathPrefix}": it has a "?" or white space`;
      findings.push({rule, path: ['routes', index, 'pathPrefix'], message});
    }
    return findings;
  });
}

function findTargetsWithoutWeight({routes}: RouteTable): UnlocatedWarning[] {
  return routes.flatMap(({targets}, index) => {
    if (targets.length === 1) return [];
    if (targets.every(({weight}) => weight === 0)) {
      const message = `all weights are 0, so that all requests go to "${targets[0].service}"`;
      return [
        {rule: 'split-zero', path: ['routes', index, 'targets'], message},
      ];
    }
    return targets.flatMap(({service, weight}, targetIndex) =>
      weight === 0
        ? [
            {
              rule: 'target-never-matches',
              path: ['routes', index, 'targets', targetIndex, 'weight'],
              message: `"${service}" has weight 0 and receives no request`,
            },
          ]
        : [],
    );
  });
}

function findUnroutedServices(table: RouteTable): UnlocatedWarning[] {
  const used = new Set(
    table.routes.filter(createRouteFilter(table)).flatMap(servicesOf),
  );
  return table.services.flatMap(({name}, index) =>
    used.has(name)
      ? []
      : [
          {
            rule: 'service-never-matches',
            path: ['services', index, 'name'],
            message: `no route leads to "${name}"`,
          },
        ],
  );
}

function findUndefinedServices({
  routes,
  services,
}: RouteTable): UnlocatedWarning[] {
  const names = new Set(services.map(({name}) => name));
  return routes.flatMap(({targets}, index) =>
    targets.flatMap(({service}, targetIndex) =>
      names.has(service)
        ? []
        : [
            {
              rule: 'service-undefined',
              path: ['routes', index, 'targets', targetIndex, 'service'],
              message: `no service "${service}"`,
            },
          ],
    ),
  );
}

/** If two organisations have the same key, it belongs to the later one. */
function findUnusedKeys({keyHolders = []}: RouteTable): UnlocatedWarning[] {
  const lastHolders = new Map(
    keyHolders.flatMap(({keys}, index) => keys.map(key => [key, index])),
  );
  return keyHolders.flatMap(({name, keys}, index): UnlocatedWarning[] => {
    if (keys.length === 0) {
      const message = `no key refers to "${name}"`;
      const path = ['keyHolders', index, 'name'];
      return [{rule: 'organisation-without-key', path, message}];
    }
    return keys.flatMap((key, keyIndex) => {
      const lastHolder = lastHolders.get(key)!;
      if (lastHolder === index) return [];
      const message = `the key belongs to "${keyHolders[lastHolder].name}", which has it too`;
      const path = ['keyHolders', index, 'keys', keyIndex];
      return [{rule: 'key-hidden', path, message}];
    });
  });
}

function placeOf({host, pathPrefix}: Route): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}

/** Returns a function that tells whether a request can match a route. */
function createRouteFilter(table: RouteTable) {
  const neverMatched = new Set(
    [...findHiddenRoutes(table), ...findImpossibleRoutes(table)].map(
      ({path}) => path[1],
    ),
  );
  return (_: Route, index: number) => !neverMatched.has(index);
}

/** Returns the services that receive requests of a route. */
function servicesOf({targets}: Route): string[] {
  const weighted = targets.filter(({weight}) => weight > 0);
  return (weighted.length > 0 ? weighted : targets.slice(0, 1)).map(
    ({service}) => service,
  );
}
