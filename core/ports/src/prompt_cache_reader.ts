import type {PromptPart} from './header_codec.js';

/** Reads which prompt parts an engine has in its cache. */
export interface PromptCacheReader {
  /**
   * Returns the cached parts of the engine at `host:port`. Rejects if it does not
   * answer in time. The call delays the engine's work, so that it is for the
   * recovery of lost knowledge only.
   */
  readCachedParts(address: string): Promise<PromptPart[]>;
}
