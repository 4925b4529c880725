import type {RouteTable} from '@sardinestile/route_table';
import type {UnlocatedWarning} from './check_finding.js';
import {TABLE_LIMIT_CHECKS} from './table_limit_checks.js';
import {TABLE_MATCH_CHECKS} from './table_match_checks.js';

/** Returns the warnings about a route table; paths are those of `RouteTable`. */
export function checkRouteTable(table: RouteTable): UnlocatedWarning[] {
  return [TABLE_MATCH_CHECKS, TABLE_LIMIT_CHECKS]
    .flatMap(checks => Object.values(checks))
    .flatMap(check => check(table));
}
