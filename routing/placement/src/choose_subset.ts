import {hashText, rendezvousWeight} from './rendezvous_hash.js';

/** Upstream that an entry can connect to. */
export interface SubsetMember {
  id: string;
  availabilityZone: string;
}

/** Options for chooseSubset. */
export interface ChooseSubsetOptions<T extends SubsetMember> {
  entryId: string;
  availabilityZone: string;
  members: readonly T[];
  /** Number of members to choose. */
  size: number;
  /**
   * Minimum number of members in other zones. They keep the entry working if
   * its own zone fails.
   */
  minOtherZoneMembers: number;
}

/**
 * Chooses the upstreams that an entry connects to. Members in the zone of the
 * entry are preferred. The subset is stable (rendezvous hashing): when a member
 * joins or leaves, at most one member of the subset is replaced.
 */
export function chooseSubset<T extends SubsetMember>(
  options: ChooseSubsetOptions<T>,
): T[] {
  const entryHash = hashText(options.entryId);
  const ranked = options.members
    .map(member => ({
      member,
      weight: rendezvousWeight(entryHash, hashText(member.id)),
    }))
    .sort((a, b) => b.weight - a.weight)
    .map(entry => entry.member);
  const isLocal = (member: T) =>
    member.availabilityZone === options.availabilityZone;
  const local = ranked.filter(isLocal);
  const remote = ranked.filter(member => !isLocal(member));
  const remoteCount = Math.min(
    remote.length,
    Math.max(options.minOtherZoneMembers, options.size - local.length),
  );
  const localCount = Math.max(0, options.size - remoteCount);
  return [...local.slice(0, localCount), ...remote.slice(0, remoteCount)];
}
