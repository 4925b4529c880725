import type {PromptPart} from '@sardinestile/ports';

/** Assumed share of the memory of an engine that cached prompt parts occupy. */
const CACHED_SHARE = 0.8;

/**
 * Limit of the parts of an engine, beside that of their tokens: callers may state parts with
 * few tokens or none, and each takes heap.
 */
const MAX_PARTS = 2_048;

interface CachedPart {
  tokens: number;
  /** Whether a request with this part got its first event. */
  isPrefilled: boolean;
  /** Whether other requests may share it: it was not the last part of a prompt. */
  isShared: boolean;
}

/**
 * Estimated prompt cache of one engine, with eviction of the least recently
 * used parts.
 */
export interface PromptCache {
  /**
   * Returns the tokens of the leading parts that are in the cache or are going
   * to be prefilled.
   */
  cachedTokens(parts: readonly PromptPart[]): number;
  /**
   * Returns the tokens of the leading parts that are prefilled, so that other
   * engines can copy them.
   */
  prefilledTokens(parts: readonly PromptPart[]): number;
  /**
   * Records that a prompt was placed; evicts other parts if the cache is full.
   */
  touch(parts: readonly PromptPart[]): void;
  /** Records that the prefill of a prompt is complete. */
  markPrefilled(parts: readonly PromptPart[]): void;
  /**
   * Adds parts that the engine is known to have, as the least recently used
   * ones and as far as there is room.
   */
  restore(parts: readonly PromptPart[]): void;
  /** Returns the cached tokens that are evicted when a number of new ones is added. */
  displacedTokens(tokens: number): number;
  /** Returns the prefilled parts that other requests may share. */
  prefilledSharedParts(): PromptPart[];
}

/** Creates an empty cache for an engine whose memory holds `memoryTokens`. */
export function createPromptCache(memoryTokens: number): PromptCache {
  const limitTokens = memoryTokens * CACHED_SHARE;
  /** Cached parts by id, least recently used first. */
  let cachedParts = new Map<string, CachedPart>();
  let usedTokens = 0;
  const sumLeading = (
    parts: readonly PromptPart[],
    isCounted: (part: CachedPart) => boolean,
  ) => {
    let tokens = 0;
    for (const {id, tokens: size} of parts) {
      const part = cachedParts.get(id);
      if (!part || !isCounted(part)) break;
      tokens += size;
    }
    return tokens;
  };
  return {
    cachedTokens: parts => sumLeading(parts, () => true),
    prefilledTokens: parts => sumLeading(parts, ({isPrefilled}) => isPrefilled),
    touch(parts) {
      // In reverse order, so that a leading part is evicted after the parts that
      // need it.
      for (let i = parts.length - 1; i >= 0; i--) {
        const {id, tokens} = parts[i];
        const previous = cachedParts.get(id);
        usedTokens += tokens - (previous?.tokens ?? 0);
        cachedParts.delete(id);
        cachedParts.set(id, {
          tokens,
          isPrefilled: previous?.isPrefilled ?? false,
          isShared: i < parts.length - 1 || previous?.isShared === true,
        });
      }
      for (const [id, {tokens}] of cachedParts) {
        if (usedTokens <= limitTokens && cachedParts.size <= MAX_PARTS) break;
        cachedParts.delete(id);
        usedTokens -= tokens;
      }
    },
    restore(parts) {
      const restored = new Map<string, CachedPart>();
      for (const {id, tokens} of parts) {
        if (cachedParts.size + restored.size >= MAX_PARTS) break;
        if (cachedParts.has(id) || usedTokens + tokens > limitTokens) continue;
        usedTokens += tokens;
        restored.set(id, {tokens, isPrefilled: true, isShared: true});
      }
      cachedParts = new Map([...restored, ...cachedParts]);
    },
    displacedTokens: tokens =>
      Math.min(tokens, Math.max(0, usedTokens + tokens - limitTokens)),
    prefilledSharedParts: () =>
      [...cachedParts].flatMap(([id, {tokens, isPrefilled, isShared}]) =>
        isPrefilled && isShared ? [{id, tokens}] : [],
      ),
    markPrefilled(parts) {
      for (const {id} of parts) {
        const part = cachedParts.get(id);
        if (part) part.isPrefilled = true;
      }
    },
  };
}
