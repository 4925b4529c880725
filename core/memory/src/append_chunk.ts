/** Size from which chunks are kept as they came, in bytes. */
const LARGE_CHUNK_BYTES = 4_096;

/**
 * Adds a chunk to the parts of a message. Small ones are joined with those before them, since
 * each buffer takes a few hundred bytes of heap, whatever its length.
 */
export function appendChunk(parts: Buffer[], chunk: Buffer): void {
  let last = chunk;
  while (
    parts.length > 0 &&
    last.length < LARGE_CHUNK_BYTES &&
    parts[parts.length - 1].length < LARGE_CHUNK_BYTES &&
    parts[parts.length - 1].length <= 2 * last.length
  ) {
    last = Buffer.concat([parts.pop()!, last]);
  }
  parts.push(last);
}
