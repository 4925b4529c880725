/** Fencing tokens that can be issued between two restores of the store. */
const TOKENS_PER_GENERATION = 2 ** 20;

/** Returns the lowest fencing token of a generation of the store; those of earlier ones are lower. */
export function firstTokenOf(generation: number): number {
  return generation * TOKENS_PER_GENERATION + 1;
}

/** Returns the generation of the store in which a fencing token was issued. */
export function generationOfToken(fencingToken: number): number {
  return Math.floor(fencingToken / TOKENS_PER_GENERATION);
}
