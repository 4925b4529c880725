/** Returns the items in a random order. */
export function shuffle<T>(items: readonly T[]): T[] {
  return items
    .map(item => ({item, order: Math.random()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}
