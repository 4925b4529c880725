/**
 * Maps a 32-bit key to a bucket from 0 to `buckets` - 1 by jump consistent
 * hashing: adding a bucket at the end moves only the keys that it receives.
 */
export function jumpHash(key: number, buckets: number): number {
  let state = BigInt(key >>> 0);
  let bucket = -1n;
  let next = 0n;
  const limit = BigInt(buckets);
  while (next < limit) {
    bucket = next;
    state = BigInt.asUintN(64, state * 2862933555777941757n + 1n);
    const step = Number((state >> 33n) + 1n);
    next = BigInt(Math.floor((Number(bucket) + 1) * (2 ** 31 / step)));
  }
  return Number(bucket);
}
