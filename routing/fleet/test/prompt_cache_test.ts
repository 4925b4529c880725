import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createPromptCache} from '../src/prompt_cache.js';

const MEMORY_TOKENS = 400_000;

/** Most parts that a cache holds. */
const MAX_PARTS = 2_048;

describe('a prompt cache', () => {
  for (const tokens of [0, 1]) {
    it(`does not grow without end by parts of ${tokens} tokens`, () => {
      const cache = createPromptCache(MEMORY_TOKENS);
      for (let i = 0; i < 20_000; i++) {
        const parts = [
          {id: `shared-${i}`, tokens},
          {id: `own-${i}`, tokens},
        ];
        cache.touch(parts);
        cache.markPrefilled(parts);
      }
      expect(cache.prefilledSharedParts().length).toEqual(MAX_PARTS / 2);
      const newest = [{id: 'shared-19999', tokens}];
      expect(cache.prefilledTokens(newest)).toEqual(tokens);
    });

    it(`restores no more than it holds of parts of ${tokens} tokens`, () => {
      const cache = createPromptCache(MEMORY_TOKENS);
      cache.restore(
        Array.from({length: 20_000}, (_, i) => ({id: `part-${i}`, tokens})),
      );
      expect(cache.prefilledSharedParts().length).toEqual(MAX_PARTS);
    });
  }

  it('evicts the least recently used parts by their tokens', () => {
    const cache = createPromptCache(1_000);
    for (const id of ['a', 'b', 'c']) cache.touch([{id, tokens: 300}]);
    expect(cache.cachedTokens([{id: 'a', tokens: 300}])).toEqual(0);
    expect(cache.cachedTokens([{id: 'b', tokens: 300}])).toEqual(300);
  });
});
