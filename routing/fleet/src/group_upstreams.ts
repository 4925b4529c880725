import {groupSizesOf, ONE_GROUP, type GroupAssignment} from './fleet_groups.js';
import type {UpstreamRecord} from './fleet_types.js';
import {areSharedByGroups, selectUpstreams} from './upstream_division.js';

/**
 * Time for which an upstream that comes from another group counts requests that
 * this gateway does not hear of, in milliseconds. Most requests end within it.
 */
const UNHEARD_REQUESTS_MS = 10_000;

/** Change of the upstreams of a service that the group of this gateway sends to. */
export interface DivisionChange {
  service: string;
  group: GroupAssignment;
  /** Whether all groups send to the upstreams of the service. */
  isShared: boolean;
  /** Number of upstreams that the group sends to now. */
  upstreams: number;
  /** Number of upstreams that take new requests, over all groups. */
  usableUpstreams: number;
  /** Upstreams that come from another group. */
  gainedIds: readonly string[];
  /** Upstreams that another group alone sends to now. */
  releasedIds: readonly string[];
  /** Requests for each slot that gained upstreams are assumed to have at first. */
  unheardPerSlot: number;
}

/** Options for `createGroupUpstreams`. */
export interface GroupUpstreamsOptions {
  usableUpstreamsOf: (service: string) => readonly UpstreamRecord[];
  /** Requests at an upstream that this gateway knows of. */
  runningAt: (record: UpstreamRecord) => number;
  /** Called when upstreams move between groups or a service begins or ceases to be shared. */
  onChange: (change: DivisionChange) => void;
}

/** Upstreams that the group of this gateway sends to. */
export interface GroupUpstreams {
  /** Group of this gateway. */
  readonly group: GroupAssignment;
  setGroup(group: GroupAssignment): void;
  /** Returns the usable upstreams of a service that the group sends to. */
  upstreamsOf(service: string): readonly UpstreamRecord[];
  /** Whether all groups send to the upstreams of a service. */
  isShared(service: string): boolean;
  /** Share of the gateways of the fleet that are in this gateway's group. */
  groupShare(): number;
  /**
   * Returns the number of requests that an upstream is assumed to have beyond those
   * that this gateway knows of.
   */
  unheardRequests(record: UpstreamRecord, nowMs: number): number;
}

interface Division {
  all: readonly UpstreamRecord[];
  own: readonly UpstreamRecord[];
  isShared: boolean;
}

interface UnheardRequests {
  perSlot: number;
  /** Time of the first placement that considered the upstream; absent before it. */
  sinceMs?: number;
}

/** Creates the upstreams of a gateway whose fleet has one group. */
export function createGroupUpstreams(
  options: GroupUpstreamsOptions,
): GroupUpstreams {
  let group = ONE_GROUP;
  let groupSizes = groupSizesOf(ONE_GROUP);
  /** Latest division of each service. */
  const divisions = new Map<string, Division>();
  const unheard = new Map<string, UnheardRequests>();

  const divide = (all: readonly UpstreamRecord[]): Division => ({
    all,
    own: selectUpstreams(all, group, groupSizes),
    isShared: areSharedByGroups(all.length, group.count),
  });
  const recordMoves = (service: string, before: Division, after: Division) => {
    const known = idsOf(before.all);
    const usedBefore = idsOf(before.own);
    const used = idsOf(after.own);
    const gained = after.own.filter(
      ({id}) => known.has(id) && !usedBefore.has(id),
    );
    const released = after.all.filter(
      ({id}) => usedBefore.has(id) && !used.has(id),
    );
    const unheardPerSlot =
      gained.length > 0 ? loadOf(before.own, options.runningAt) : 0;
    for (const {id} of gained) unheard.set(id, {perSlot: unheardPerSlot});
    for (const {id} of released) unheard.delete(id);
    if (
      gained.length + released.length === 0 &&
      before.isShared === after.isShared
    ) {
      return;
    }
    options.onChange({
      service,
      group,
      isShared: after.isShared,
      upstreams: after.own.length,
      usableUpstreams: after.all.length,
      gainedIds: gained.map(({id}) => id),
      releasedIds: released.map(({id}) => id),
      unheardPerSlot,
    });
  };
  const divisionOf = (service: string): Division => {
    const all = options.usableUpstreamsOf(service);
    const before = divisions.get(service);
    if (before?.all === all) return before;
    const after = divide(all);
    divisions.set(service, after);
    if (before) recordMoves(service, before, after);
    return after;
  };
  return {
    get group() {
      return group;
    },
    setGroup(next) {
      if (
        next.index === group.index &&
        next.count === group.count &&
        next.gateways === group.gateways
      ) {
        return;
      }
      group = next;
      groupSizes = groupSizesOf(next);
      for (const [service, before] of divisions) {
        const after = divide(before.all);
        divisions.set(service, after);
        recordMoves(service, before, after);
      }
    },
    upstreamsOf: service => divisionOf(service).own,
    isShared: service =>
      areSharedByGroups(options.usableUpstreamsOf(service).length, group.count),
    groupShare() {
      const total = groupSizes.reduce((sum, size) => sum + size, 0);
      return groupSizes[group.index] / total;
    },
    unheardRequests({id, places}, nowMs) {
      const entry = unheard.get(id);
      if (!entry) return 0;
      entry.sinceMs ??= nowMs;
      const remaining = 1 - (nowMs - entry.sinceMs) / UNHEARD_REQUESTS_MS;
      if (remaining <= 0) {
        unheard.delete(id);
        return 0;
      }
      return entry.perSlot * places * Math.min(1, remaining);
    },
  };
}

function idsOf(records: readonly UpstreamRecord[]): ReadonlySet<string> {
  return new Set(records.map(({id}) => id));
}

/** Returns the requests for each slot of some upstreams, at most 1. */
function loadOf(
  records: readonly UpstreamRecord[],
  runningAt: (record: UpstreamRecord) => number,
): number {
  let running = 0;
  let slots = 0;
  for (const record of records) {
    running += runningAt(record);
    slots += record.places;
  }
  return slots > 0 ? Math.min(1, running / slots) : 0;
}
