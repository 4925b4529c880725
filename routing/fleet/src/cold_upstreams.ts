import type {ColdStart} from '@sardinestile/route_table';
import {createColdPeriods} from './cold_periods.js';
import type {UpstreamRecord} from './fleet_types.js';
import {createRestartDoubts} from './restart_doubt.js';
import type {UpstreamStart} from './upstream_key.js';

/**
 * Rate that an upstream reaches before its limit is lifted, as a multiple of the cold
 * rate. At 11 a second it is far above the 7 that one of 35 upstreams gets of 250 on average,
 * so that lifting the limit causes no step.
 */
const MAX_RATE_FACTOR = 4;

/** Upstreams that take fewer requests for a time; only of services with a cold rate. */
export interface ColdUpstreams {
  /**
   * Returns the requests a second that an upstream takes from all gateways together;
   * undefined if it is neither cold nor was until just now.
   */
  ratePerS(upstream: UpstreamStart, nowMs: number): number | undefined;
  /** Returns the software version of an upstream; undefined if it may have restarted. */
  versionOf(record: UpstreamRecord): string | undefined;
  /** Whether the upstream may have restarted under its id. */
  isInDoubt(upstream: UpstreamStart): boolean;
  /** Applies the cold time in a record that was read now. */
  applyRecord(record: UpstreamRecord, nowMs: number): void;
  /** Applies the cold time in a response to a request that was sent at a time. */
  applyResponse(
    upstream: UpstreamStart,
    coldMs: number,
    sentAtMs: number,
    nowMs: number,
  ): void;
  /**
   * Records a refused connection, or one that was lost during a request. Returns
   * whether the upstream is in doubt from now on and was not before.
   */
  recordLoss(upstream: UpstreamStart, nowMs: number): boolean;
  /** Records an answer to a request that was sent at a time. */
  recordAnswer(upstream: UpstreamStart, sentAtMs: number, nowMs: number): void;
  /** Records up to which time the list of upstreams is complete; returns those that are no longer in doubt. */
  recordListRead(listAsOfMs: number, nowMs: number): readonly UpstreamStart[];
  /** Records that a zone was taken back into service. */
  recordZoneReturn(availabilityZone: string, nowMs: number): void;
  prune(nowMs: number): void;
}

/** Options for `createColdUpstreams`. */
export interface ColdUpstreamsOptions {
  /** Returns the cold rate of a service from the current configuration. */
  coldStartOf: (service: string) => ColdStart | undefined;
  /** Returns the registration with an id. */
  recordOf: (id: string) => UpstreamRecord | undefined;
}

/** Creates a set without cold upstreams. */
export function createColdUpstreams(
  options: ColdUpstreamsOptions,
): ColdUpstreams {
  const periods = createColdPeriods();
  const doubts = createRestartDoubts();
  const zonesReturnedAtMs = new Map<string, number>();
  const registrationOf = ({id, startedAtWallMs}: UpstreamStart) => {
    const record = options.recordOf(id);
    return record?.startedAtWallMs === startedAtWallMs ? record : undefined;
  };
  const coldStartOf = (upstream: UpstreamStart) => {
    const record = registrationOf(upstream);
    return record && options.coldStartOf(record.service);
  };
  return {
    ratePerS(upstream, nowMs) {
      const record = registrationOf(upstream);
      const coldStart = record && options.coldStartOf(record.service);
      if (!coldStart) return undefined;
      const {durationMs, requestsPerS} = coldStart;
      if (doubts.includes(upstream)) return requestsPerS;
      const zoneReturnedAtMs =
        zonesReturnedAtMs.get(record.availabilityZone) ?? -Infinity;
      const endMs = Math.max(
        periods.endMs(upstream),
        zoneReturnedAtMs + durationMs,
      );
      if (nowMs < endMs) return requestsPerS;
      const risen = (nowMs - endMs) / durationMs;
      if (risen >= 1) return undefined;
      return requestsPerS * (1 + (MAX_RATE_FACTOR - 1) * risen);
    },
    versionOf: record =>
      doubts.includes(record) ? undefined : record.softwareVersion,
    isInDoubt: doubts.includes,
    applyRecord: (record, nowMs) =>
      periods.applyRecord(record, record.coldMs, nowMs),
    applyResponse: periods.applyResponse,
    recordLoss: (upstream, nowMs) =>
      coldStartOf(upstream) !== undefined && doubts.recordLoss(upstream, nowMs),
    recordAnswer: doubts.recordAnswer,
    recordListRead: (listAsOfMs, nowMs) =>
      doubts.recordListRead(
        listAsOfMs,
        nowMs,
        upstream => registrationOf(upstream) !== undefined,
      ),
    recordZoneReturn(availabilityZone, nowMs) {
      zonesReturnedAtMs.set(availabilityZone, nowMs);
    },
    prune: periods.prune,
  };
}
