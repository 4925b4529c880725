import type {PromptPart} from '@sardinestile/ports';

/** Share of an engine's memory that cached parts are believed to keep. */
const CACHED_SHARE = 0.8;

/** What one engine's memory is believed to hold of prompts. */
export interface PromptCache {
  /** Tokens of the leading parts that the engine holds. */
  cachedTokens(parts: readonly PromptPart[]): number;
  /** Notes that the engine reads a prompt; the least recently used parts yield. */
  touch(parts: readonly PromptPart[]): void;
  clear(): void;
  readonly heldTokens: number;
}

/** Makes an empty cache of an engine with room for `memoryTokens`. */
export function createPromptCache(memoryTokens: number): PromptCache {
  const limit = memoryTokens * CACHED_SHARE;
  /** Tokens of each part, least recently used first. */
  const held = new Map<string, number>();
  let heldTokens = 0;
  return {
    cachedTokens(parts) {
      let tokens = 0;
      for (const part of parts) {
        if (!held.has(part.id)) break;
        tokens += part.tokens;
      }
      return tokens;
    },
    touch(parts) {
      // Backwards, so that a leading part outlives those that build on it.
      for (let i = parts.length - 1; i >= 0; i--) {
        const {id, tokens} = parts[i];
        heldTokens += tokens - (held.get(id) ?? 0);
        held.delete(id);
        held.set(id, tokens);
      }
      for (const [id, tokens] of held) {
        if (heldTokens <= limit) break;
        held.delete(id);
        heldTokens -= tokens;
      }
    },
    clear() {
      held.clear();
      heldTokens = 0;
    },
    get heldTokens() {
      return heldTokens;
    },
  };
}
