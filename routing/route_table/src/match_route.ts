import {hashText} from '@sardinestile/placement';
import {
  routeSchema,
  type KeyHolder,
  type Route,
  type RoutedService,
  type RouteTable,
} from './route_table_schema.js';
import {createUrgencyRanker, type UrgencyRanker} from './urgency_ranker.js';

/** Index for look-ups in one version of the route table. */
export interface RouteIndex {
  readonly table: RouteTable;
  /**
   * Returns the route of the host with the longest prefix that matches the
   * path.
   */
  match(host: string, path: string): Route | undefined;
  /** Returns the organisation that a key belongs to. */
  keyHolderOf(key: string): KeyHolder | undefined;
  /** Returns the service with this name. */
  findService(name: string): RoutedService | undefined;
  /**
   * Returns the shortest target gap between events on the routes of a service;
   * Infinity if none has a target.
   */
  shortestTargetGapMs(service: string): number;
  /**
   * Returns the rank of a request in the queue of an upstream; 0 is the most
   * urgent.
   */
  urgencyOf: UrgencyRanker;
}

/** Creates the index of one version of the route table. */
export function createRouteIndex(table: RouteTable): RouteIndex {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of table.routes) {
    const host = route.host.toLowerCase();
    let prefixes = byHost.get(host);
    if (!prefixes) byHost.set(host, (prefixes = new Map()));
    prefixes.set(route.pathPrefix, route);
  }
  const holdersByKey = new Map<string, KeyHolder>();
  for (const holder of table.keyHolders ?? []) {
    for (const key of holder.keys) holdersByKey.set(key, holder);
  }
  const services = new Map(table.services.map(s => [s.name, s]));
  const gaps = computeShortestGaps(table);
  return {
    table,
    match(host, path) {
      const prefixes = byHost.get(stripPort(host).toLowerCase());
      return prefixes && findLongestPrefix(prefixes, stripQuery(path));
    },
    keyHolderOf: key => holdersByKey.get(key),
    findService: name => services.get(name),
    shortestTargetGapMs: service => gaps.get(service) ?? Infinity,
    urgencyOf: createUrgencyRanker(table),
  };
}

/**
 * Chooses the service for a request by the weights of the route's targets. The
 * choice depends on the hash of the request id, so that a repeated request gets
 * the same service.
 */
export function chooseTarget(
  route: Pick<Route, 'targets'>,
  requestId: string,
): string {
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

/** Returns the services to which a route sends requests, each once. */
export function listReachableServices({
  targets,
}: Pick<Route, 'targets'>): string[] {
  const weighted = targets.filter(({weight}) => weight > 0);
  const reachable = weighted.length > 0 ? weighted : targets.slice(0, 1);
  return [...new Set(reachable.map(({service}) => service))];
}

/** Encodes the targets of a route as text; equal targets have equal texts. */
export function encodeTargets({targets}: Pick<Route, 'targets'>): string {
  return JSON.stringify(
    targets.map(({service, weight}) => ({service, weight})),
  );
}

/** Decodes targets; throws if the text does not hold any. */
export function decodeTargets(text: string): Route['targets'] {
  return routeSchema.shape.targets.parse(JSON.parse(text));
}

function computeShortestGaps({routes}: RouteTable): Map<string, number> {
  const gaps = new Map<string, number>();
  for (const {targets, targetGapMs} of routes) {
    if (targetGapMs === undefined) continue;
    for (const {service} of targets) {
      gaps.set(service, Math.min(targetGapMs, gaps.get(service) ?? Infinity));
    }
  }
  return gaps;
}

/** Looks up the prefixes of the path that end with a slash, longest first. */
function findLongestPrefix(
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
