import {appendChunk} from './append_chunk.js';
import {createPageBytes, type PageBytes} from './page_bytes.js';

/** Size above which bytes are kept in pages of their own. */
const MIN_PAGED_BYTES = 65_536;

/** A message that is held until it is complete. */
export interface HeldBytes {
  readonly length: number;
  /** Adds a chunk, which the caller must not change afterwards; throws a RangeError beyond the largest size. */
  append(chunk: Buffer): void;
  /** Returns all bytes, without a copy if they are in pages. */
  view(): Buffer;
  /** Drops the bytes; a write of the view that is still pending fails. */
  release(): void;
}

/** Options for createHeldBytes. */
export interface HeldBytesOptions {
  /** Size that the sender stated; 0 if it is unknown. */
  statedBytes: number;
  /** Largest size. */
  maxBytes: number;
}

/**
 * Creates a message without bytes. Small ones keep the chunks; larger ones are
 * copied into pages chunk by chunk, so that the chunks can be dropped at once.
 */
export function createHeldBytes({
  statedBytes,
  maxBytes,
}: HeldBytesOptions): HeldBytes {
  let chunks: Buffer[] = [];
  let chunkBytes = 0;
  let pages: PageBytes | undefined;
  const moveToPages = (sizeBytes: number) => {
    pages = createPageBytes(sizeBytes);
    for (const chunk of chunks) pages.append(chunk);
    chunks = [];
    chunkBytes = 0;
  };
  return {
    get length() {
      return pages?.length ?? chunkBytes;
    },
    append(chunk) {
      const length = chunkBytes + chunk.length;
      if (!pages && Math.max(statedBytes, length) > MIN_PAGED_BYTES) {
        const isStated = statedBytes >= length && statedBytes <= maxBytes;
        moveToPages(isStated ? statedBytes : maxBytes);
      }
      if (pages) {
        pages.append(chunk);
        return;
      }
      appendChunk(chunks, chunk);
      chunkBytes = length;
    },
    view() {
      if (pages) return pages.view();
      return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
    },
    release() {
      pages?.release();
      chunks = [];
      chunkBytes = 0;
    },
  };
}
