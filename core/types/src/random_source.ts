import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers. Functions that make decisions take it as an argument. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}

/**
 * Number of initial outputs that are discarded, so that similar seeds give
 * unrelated sequences.
 */
const DISCARDED_OUTPUTS = 32;

/** Creates a source whose sequence is determined by the seed. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
  const next = () => uniformFloat64(generator);
  for (let i = 0; i < DISCARDED_OUTPUTS; i++) next();
  return {next};
}

/** Creates a source that uses `Math.random`. */
export function createSystemRandom(): RandomSource {
  return {next: Math.random};
}
