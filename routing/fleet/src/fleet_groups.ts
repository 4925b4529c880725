import {hashText} from '@sardinestile/placement';

/**
 * Maximum number of gateways in a group; each reports its placed requests to
 * all others.
 */
const MAX_GROUP_GATEWAYS = 32;

/** Index of a group, from 0 to the number of groups - 1. */
export type GroupIndex = number;

/** Group of a large fleet that a gateway belongs to. */
export interface GroupAssignment {
  index: GroupIndex;
  /** Number of groups. */
  count: number;
  /** Number of gateways in the fleet; if absent, the groups count as equal. */
  gateways?: number;
}

/** Assignment for a fleet that is not divided. */
export const ONE_GROUP: GroupAssignment = {index: 0, count: 1};

/**
 * Divides the gateways into groups of equal size and returns the group of one
 * of them. Groups bound the number of messages that a gateway receives as the
 * fleet grows. All gateways with the same list of names get the same groups,
 * and a gateway that joins or leaves moves few others to another group.
 */
export function assignGroup(
  instance: string,
  instances: readonly string[],
): GroupAssignment {
  const all = instances.includes(instance)
    ? instances
    : [...instances, instance];
  const count = Math.ceil(all.length / MAX_GROUP_GATEWAYS);
  const position = sortByHash(all, name => name).indexOf(instance);
  const index = groupIndexOf(position, all.length, count);
  return {index, count, gateways: all.length};
}

/** Returns the number of gateways of each group; 1 for each if it is unknown. */
export function groupSizesOf({count, gateways}: GroupAssignment): number[] {
  const sizes = Array.from({length: count}, () => 0);
  const total = gateways ?? count;
  for (let position = 0; position < total; position++) {
    sizes[groupIndexOf(position, total, count)]++;
  }
  return sizes;
}

/** Divides items with stable names into the groups that `assignGroup` assigns them to. */
export function divideIntoGroups<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): T[][] {
  const count = Math.ceil(items.length / MAX_GROUP_GATEWAYS);
  const groups: T[][] = Array.from({length: count}, () => []);
  sortByHash(items, nameOf).forEach((item, position) =>
    groups[groupIndexOf(position, items.length, count)].push(item),
  );
  return groups;
}

/** Returns the items that belong to a group; each item needs a stable name. */
export function selectGroup<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
  {index, count}: GroupAssignment,
): readonly T[] {
  // With fewer items than groups, some groups would get none.
  if (count === 1 || items.length < count) return items;
  return sortByHash(items, nameOf).filter(
    (_item, position) => groupIndexOf(position, items.length, count) === index,
  );
}

function groupIndexOf(position: number, length: number, count: number): number {
  return Math.floor((position * count) / length);
}

/**
 * Returns the items in the order of the hashes of their names. The order is
 * the same in every process, and similar names are spread out.
 */
export function sortByHash<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): T[] {
  return items
    .map(item => ({item, name: nameOf(item), hash: hashText(nameOf(item))}))
    .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
    .map(({item}) => item);
}
