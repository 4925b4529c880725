/** Size of the first slice of a connection, and limits of those after it, in bytes. */
const FIRST_SLICE_BYTES = 2_048;
const MIN_SLICE_BYTES = 256;
const MAX_SLICE_BYTES = 65_536;

/** Factor by which slices grow while they cost little. */
const SLICE_GROWTH = 4;

/** Time that a slice may take, in milliseconds. */
const SLICE_MS = 0.5;

/** Size of the slices in which the input of a connection is parsed. */
export interface SliceSize {
  /** Size of the next slice, in bytes. */
  readonly bytes: number;
  /** Adapts the size to the time that a slice took, in milliseconds. */
  adapt(sliceBytes: number, usedMs: number): void;
}

/** Creates the size of the slices of a connection of which nothing was parsed. */
export function createSliceSize(): SliceSize {
  let bytes = FIRST_SLICE_BYTES;
  return {
    get bytes() {
      return bytes;
    },
    adapt(sliceBytes, usedMs) {
      const fittingBytes = Math.floor((sliceBytes * SLICE_MS) / usedMs);
      const wantedBytes = Math.min(SLICE_GROWTH * bytes, fittingBytes);
      bytes = Math.min(MAX_SLICE_BYTES, Math.max(MIN_SLICE_BYTES, wantedBytes));
    },
  };
}
