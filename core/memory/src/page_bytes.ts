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

/**
 * Reserves address space for `maxBytes`; the system takes a page once bytes are written to it.
 * The allocator of the process is not involved, so that it keeps nothing after the release.
 */
export function createPageBytes(maxBytes: number): PageBytes {
  // Growing it later would write zeros to each new page.
  const pages = new ArrayBuffer(maxBytes, {maxByteLength: maxBytes});
  let length = 0;
  return {
    get length() {
      return length;
    },
    append(bytes) {
      new Uint8Array(pages, length, bytes.length).set(bytes);
      length += bytes.length;
    },
    view: () => Buffer.from(pages, 0, length),
    release() {
      length = 0;
      pages.resize(0);
    },
  };
}
