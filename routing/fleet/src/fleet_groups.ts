import {hashText} from '@sardinestile/placement';

/** Gateways that share one model at most; each tells every other one what it places. */
const MAX_GROUP_GATEWAYS = 32;

/** Which part of a large fleet this gateway belongs to. */
export interface GroupAssignment {
  /** 0 to `count` - 1. */
  index: number;
  count: number;
}

/** The whole fleet as one group. */
export const ONE_GROUP: GroupAssignment = {index: 0, count: 1};

/**
 * Divides the gateways into groups of equal size, so that what a gateway hears
 * of others does not grow with the fleet. All gateways that know the same names
 * divide them alike, and one that comes or goes moves few others.
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
  return {index: chunkOf(position, all.length, count), count};
}

/** The members of a group out of all items, each of which has a stable name. */
export function selectGroup<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
  {index, count}: GroupAssignment,
): readonly T[] {
  // Groups without a member of their own would be of no use.
  if (count === 1 || items.length < count) return items;
  return sortByHash(items, nameOf).filter(
    (_item, position) => chunkOf(position, items.length, count) === index,
  );
}

function chunkOf(position: number, length: number, count: number): number {
  return Math.floor((position * count) / length);
}

/** Items in an order that depends on their names alone, and not on their likeness. */
export function sortByHash<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): T[] {
  return items
    .map(item => ({item, name: nameOf(item), hash: hashText(nameOf(item))}))
    .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
    .map(({item}) => item);
}
