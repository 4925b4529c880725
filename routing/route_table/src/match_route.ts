import {hashText} from '@sardinestile/placement';
import type {
  KeyHolder,
  Route,
  RoutedService,
  RouteTable,
} from './route_table_schema.js';
import {createUrgencyRanks, type UrgencyRanks} from './urgency_ranks.js';

/** Answers look-ups in one version of the routes. */
export interface RouteIndex {
  readonly table: RouteTable;
  /** The route of the host whose prefix begins the path and is longest. */
  match(host: string, path: string): Route | undefined;
  /** The organisation that holds a key. */
  holderOf(key: string): KeyHolder | undefined;
  service(name: string): RoutedService | undefined;
  /** Shortest gap between events that callers of a service want; infinite without any. */
  shortestGapMs(service: string): number;
  /** Rank of a request in an upstream's queue; 0 is first. */
  urgencyOf: UrgencyRanks;
}

/** Builds the look-ups of one version. */
export function createRouteIndex(table: RouteTable): RouteIndex {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of table.routes) {
    const host = route.host.toLowerCase();
    let prefixes = byHost.get(host);
    if (!prefixes) byHost.set(host, (prefixes = new Map()));
    prefixes.set(route.pathPrefix, route);
  }
  const holders = new Map<string, KeyHolder>();
  for (const holder of table.keyHolders ?? []) {
    for (const key of holder.keys) holders.set(key, holder);
  }
  const services = new Map(table.services.map(s => [s.name, s]));
  const gaps = shortestGaps(table);
  return {
    table,
    match(host, path) {
      const prefixes = byHost.get(stripPort(host).toLowerCase());
      return prefixes && longestPrefix(prefixes, stripQuery(path));
    },
    holderOf: key => holders.get(key),
    service: name => services.get(name),
    shortestGapMs: service => gaps.get(service) ?? Infinity,
    urgencyOf: createUrgencyRanks(table),
  };
}

/**
 * Picks the service of one request by the weights of the route's targets; the
 * same request always gets the same service.
 */
export function chooseTarget(route: Route, requestId: string): string {
  const [first] = route.targets;
  if (route.targets.length === 1) return first.service;
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  if (total <= 0) return first.service;
  let point = (hashText(requestId) / 2 ** 32) * total;
  for (const {service, weight} of route.targets) {
    point -= weight;
    if (point < 0) return service;
  }
  return first.service;
}

function shortestGaps({routes}: RouteTable): Map<string, number> {
  const gaps = new Map<string, number>();
  for (const {targets, targetGapMs} of routes) {
    if (targetGapMs === undefined) continue;
    for (const {service} of targets) {
      gaps.set(service, Math.min(targetGapMs, gaps.get(service) ?? Infinity));
    }
  }
  return gaps;
}

/** Looks up each prefix of the path that ends with a slash, longest first. */
function longestPrefix(
  prefixes: ReadonlyMap<string, Route>,
  path: string,
): Route | undefined {
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route) return route;
    if (end === 0) return undefined;
    end = path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

function stripPort(host: string): string {
  const colon = host.lastIndexOf(':');
  return colon < 0 || host.endsWith(']') ? host : host.slice(0, colon);
}

function stripQuery(path: string): string {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}
