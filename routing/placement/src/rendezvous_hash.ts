/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash of a text that is the same in every process. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return mix(hash);
}

/**
 * Returns the weight of a member for a key in rendezvous hashing. The member
 * with the highest weight owns the key.
 */
export function rendezvousWeight(keyHash: number, memberHash: number): number {
  return mix(Math.imul(keyHash ^ memberHash, 0x9e3779b1));
}

function mix(value: number): number {
  let hash = value;
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
