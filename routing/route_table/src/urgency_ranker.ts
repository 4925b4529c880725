import type {KeyHolder, Route, RouteTable} from './route_table_schema.js';

/** Number of urgency ranks that upstreams distinguish. */
const RANK_COUNT = 10;

/** Returns the urgency rank of a request; 0 is the most urgent. */
export type UrgencyRanker = (
  route: Route,
  organisation: KeyHolder | undefined,
) => number;

/**
 * Creates a function that ranks requests by the priority of their organisation,
 * then by that of their route. For a request without an organisation, or whose
 * organisation has no priority, the priority of the route is used for both.
 */
export function createUrgencyRanker(table: RouteTable): UrgencyRanker {
  const urgencyKeys = new Set<number>();
  const organisations = [undefined, ...(table.keyHolders ?? [])];
  for (const route of table.routes) {
    for (const organisation of organisations) {
      urgencyKeys.add(urgencyKey(route, organisation));
    }
  }
  const orderedKeys = [...urgencyKeys].sort((a, b) => a - b);
  const rankOf = new Map(orderedKeys.map((key, rank) => [key, rank]));
  return (route, organisation) =>
    Math.min(
      RANK_COUNT - 1,
      rankOf.get(urgencyKey(route, organisation)) ?? RANK_COUNT - 1,
    );
}

/**
 * Returns a sort key; lower is more urgent. The priority of the organisation
 * outweighs that of the route.
 */
function urgencyKey(route: Route, organisation: KeyHolder | undefined): number {
  const leadingPriority = organisation?.priority ?? route.priority;
  return leadingPriority * 1_000 + route.priority;
}
