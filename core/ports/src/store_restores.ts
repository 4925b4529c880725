/**
 * Restores of the platform's store from a copy. A restore loses the writes that
 * the store had acknowledged since the copy was made; versions of rows from
 * before it no longer match.
 */
export interface StoreRestores {
  /** Rises with each restore; 0 if the store does not number its restores. */
  readonly generation: number;
  /** Calls back when a response shows that the store was restored. */
  subscribe(onRestored: (generation: number) => void): void;
}

/** Restores of a store that never loses what it has acknowledged. */
export const NO_RESTORES: StoreRestores = {
  generation: 0,
  subscribe: () => undefined,
};
