/** Bytes in pages of their own, which return to the operating system at once when they are released. */
export interface PageBytes {
  readonly length: number;
  /** Copies bytes behind those that it has; throws a RangeError if they exceed its size. */
  append(bytes: Uint8Array): void;
  /** Returns a view of all bytes; it has no bytes after the release. */
  view(): Buffer;
  /** Gives the pages back; a write of the view that is still pending fails. */
  release(): void;
}

/** Smallest size of the pages, which double as they grow, in bytes. */
const MIN_PAGES_BYTES = 131_072;

/**
 * Reserves address space for up to `maxBytes`; pages are taken as bytes are appended. The
 * allocator of the process is not involved, so that it keeps nothing after the release.
 */
export function createPageBytes(maxBytes: number): PageBytes {
  const pages = new ArrayBuffer(0, {maxByteLength: maxBytes});
  let length = 0;
  return {
    get length() {
      return length;
    },
    append(bytes) {
      const end = length + bytes.length;
      if (end > pages.byteLength) {
        const grown = Math.max(MIN_PAGES_BYTES, 2 * pages.byteLength);
        pages.resize(Math.max(end, Math.min(grown, maxBytes)));
      }
      new Uint8Array(pages, length, bytes.length).set(bytes);
      length = end;
    },
    view: () => Buffer.from(pages, 0, length),
    release() {
      length = 0;
      pages.resize(0);
    },
  };
}
