import {
  sortByHash,
  type GroupAssignment,
  type GroupIndex,
} from './fleet_groups.js';
import type {UpstreamRecord} from './fleet_types.js';

/**
 * Upstreams a group from which a service is divided. A group that loses one of
 * eight has 8/7 of the load on the others: 0.86 at a utilisation of 0.75, while
 * one of three would make 1.13.
 */
const MIN_UPSTREAMS_PER_GROUP = 8;

/**
 * Upstreams from which a service is divided in any case, unless there are fewer
 * than groups. It bounds the updates that every gateway of a large fleet receives.
 */
const MAX_SHARED_UPSTREAMS = 32;

/**
 * Whether the gateways of all groups send to the upstreams of a service with this
 * number of usable upstreams.
 */
export function areSharedByGroups(upstreams: number, groups: number): boolean {
  if (groups === 1) return false;
  return (
    upstreams <
    Math.max(
      groups,
      Math.min(MIN_UPSTREAMS_PER_GROUP * groups, MAX_SHARED_UPSTREAMS),
    )
  );
}

/**
 * Divides the usable upstreams of a service between groups, so that the slots of
 * each are in proportion to its number of gateways, in each availability zone as
 * far as the numbers allow. Returns the index of the group by upstream id. It is
 * the same for lists with the same content, and an upstream that comes or goes
 * moves few others.
 */
export function divideUpstreams(
  upstreams: readonly UpstreamRecord[],
  groupSizes: readonly number[],
): ReadonlyMap<string, GroupIndex> {
  const groupOf = new Map<string, GroupIndex>();
  const totalSize = groupSizes.reduce((sum, size) => sum + size, 0);
  const assignedSlots = groupSizes.map(() => 0);
  let slotsSoFar = 0;
  for (const zone of listByZone(upstreams)) {
    const zoneSlots = zone.reduce((sum, record) => sum + slotsOf(record), 0);
    slotsSoFar += zoneSlots;
    // Rounding in one zone is made up for in the next.
    const missingSlots = groupSizes.map((size, group) =>
      Math.max(0, (size / totalSize) * slotsSoFar - assignedSlots[group]),
    );
    const totalMissing = missingSlots.reduce((sum, slots) => sum + slots, 0);
    let group = 0;
    let boundary = (missingSlots[0] / totalMissing) * zoneSlots;
    let position = 0;
    for (const record of zone) {
      const slots = slotsOf(record);
      const middle = position + slots / 2;
      while (boundary <= middle && group < groupSizes.length - 1) {
        group++;
        boundary += (missingSlots[group] / totalMissing) * zoneSlots;
      }
      groupOf.set(record.id, group);
      assignedSlots[group] += slots;
      position += slots;
    }
  }
  return groupOf;
}

/** Returns the usable upstreams of a service that a group sends to. */
export function selectUpstreams(
  upstreams: readonly UpstreamRecord[],
  group: GroupAssignment,
  groupSizes: readonly number[],
): readonly UpstreamRecord[] {
  if (group.count === 1 || areSharedByGroups(upstreams.length, group.count)) {
    return upstreams;
  }
  const groupOf = divideUpstreams(upstreams, groupSizes);
  return sortByHash(upstreams, ({id}) => id).filter(
    ({id}) => groupOf.get(id) === group.index,
  );
}

/** Slots by which an upstream is counted; one without any still takes a part. */
function slotsOf({places}: UpstreamRecord): number {
  return Math.max(1, places);
}

/** Returns the upstreams of each zone in the order of their hashes; zones are sorted by name. */
function listByZone(upstreams: readonly UpstreamRecord[]): UpstreamRecord[][] {
  const byZone = new Map<string, UpstreamRecord[]>();
  for (const record of sortByHash(upstreams, ({id}) => id)) {
    const zone = byZone.get(record.availabilityZone);
    if (zone) zone.push(record);
    else byZone.set(record.availabilityZone, [record]);
  }
  return [...byZone.keys()].sort().map(name => byZone.get(name)!);
}
