import type {UpstreamRecord} from './fleet_types.js';
import type {UpstreamFleet} from './upstream_fleet.js';

/** Why no upstream of a service takes a request now. */
export interface ServicePause {
  /** `quiet` if all upstreams asked for it; `limited` if some have reached their limit. */
  cause: 'quiet' | 'limited';
  /** Time until the first upstream takes a request, in milliseconds. */
  waitMs: number;
}

/**
 * Returns why all upstreams of a service want no requests now; undefined if one of
 * them takes requests or there is none.
 */
export function findServicePause(
  fleet: UpstreamFleet,
  service: string,
  nowMs: number,
): ServicePause | undefined {
  const records = fleet.membership.usableUpstreamsOf(service);
  if (records.length === 0) return undefined;
  const waitsMs = records.map(record => waitUntilTakenMs(fleet, record, nowMs));
  const waitMs = Math.min(...waitsMs);
  if (waitMs === 0) return undefined;
  const isQuiet = records.every(
    record => fleet.quietPeriods.remainingMs(record, nowMs) > 0,
  );
  return {cause: isQuiet ? 'quiet' : 'limited', waitMs};
}

/** Returns the time until an upstream takes a request of this gateway, in milliseconds; 0 for now. */
export function waitUntilTakenMs(
  fleet: UpstreamFleet,
  record: UpstreamRecord,
  nowMs: number,
): number {
  const {quietPeriods, requestLimits} = fleet;
  return Math.max(
    quietPeriods.remainingMs(record, nowMs),
    requestLimits.waitMs(record, nowMs),
  );
}
