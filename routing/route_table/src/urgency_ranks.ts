import type {KeyHolder, Route, RouteTable} from './route_table_schema.js';

/** Ranks that upstreams tell apart. */
const RANKS = 10;

/** Ranks requests of one version of the routes; 0 is the most urgent. */
export type UrgencyRanks = (
  route: Route,
  organisation: KeyHolder | undefined,
) => number;

/**
 * Orders requests by their organisation's priority, then by their route's.
 * Organisations without a priority count with that of the route.
 */
export function createUrgencyRanks(table: RouteTable): UrgencyRanks {
  const weights = new Set<number>();
  const organisations = [undefined, ...(table.keyHolders ?? [])];
  for (const route of table.routes) {
    for (const organisation of organisations) {
      weights.add(weigh(route, organisation));
    }
  }
  const ordered = [...weights].sort((a, b) => a - b);
  const rankOf = new Map(ordered.map((weight, rank) => [weight, rank]));
  return (route, organisation) =>
    Math.min(RANKS - 1, rankOf.get(weigh(route, organisation)) ?? RANKS - 1);
}

/** Lower is more urgent; an organisation's priority goes before any route's. */
function weigh(route: Route, organisation: KeyHolder | undefined): number {
  const first = organisation?.priority ?? route.priority;
  return first * 1_000 + route.priority;
}
