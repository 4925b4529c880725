import type {PromptPart} from '@sardinestile/ports';

/** Share of an engine's memory that cached parts are believed to keep. */
const CACHED_SHARE = 0.8;

interface HeldPart {
  tokens: number;
  /** Whether a request that has the part got its first event. */
  isRead: boolean;
}

/** What one engine's memory is believed to hold of prompts. */
export interface PromptCache {
  /** Tokens of the leading parts that the engine holds or is going to read. */
  cachedTokens(parts: readonly PromptPart[]): number;
  /** Tokens of the leading parts that it has read, so that others can copy them. */
  readTokens(parts: readonly PromptPart[]): number;
  /** Notes that the engine gets a prompt; the least recently used parts yield. */
  touch(parts: readonly PromptPart[]): void;
  /** Notes that it has read a prompt. */
  confirm(parts: readonly PromptPart[]): void;
}

/** Makes an empty cache of an engine with room for `memoryTokens`. */
export function createPromptCache(memoryTokens: number): PromptCache {
  const limit = memoryTokens * CACHED_SHARE;
  /** Least recently used first. */
  const held = new Map<string, HeldPart>();
  let heldTokens = 0;
  const sumLeading = (
    parts: readonly PromptPart[],
    counts: (part: HeldPart) => boolean,
  ) => {
    let tokens = 0;
    for (const {id, tokens: size} of parts) {
      const part = held.get(id);
      if (!part || !counts(part)) break;
      tokens += size;
    }
    return tokens;
  };
  return {
    cachedTokens: parts => sumLeading(parts, () => true),
    readTokens: parts => sumLeading(parts, ({isRead}) => isRead),
    touch(parts) {
      // Backwards, so that a leading part outlives those that build on it.
      for (let i = parts.length - 1; i >= 0; i--) {
        const {id, tokens} = parts[i];
        const known = held.get(id);
        heldTokens += tokens - (known?.tokens ?? 0);
        held.delete(id);
        held.set(id, {tokens, isRead: known?.isRead ?? false});
      }
      for (const [id, {tokens}] of held) {
        if (heldTokens <= limit) break;
        held.delete(id);
        heldTokens -= tokens;
      }
    },
    confirm(parts) {
      for (const {id} of parts) {
        const part = held.get(id);
        if (part) part.isRead = true;
      }
    },
  };
}
