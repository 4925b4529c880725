import type {Clock} from '@sardinestile/types';

/**
 * Time of day that a step of one instance's clock does not move: corrected by
 * the median of how far the peers' clocks are ahead, this one's counted as 0.
 */
export function createTrueTime(
  clock: Clock,
  peersAheadMs: () => readonly number[],
): () => number {
  return () => clock.wallMs() + median([0, ...peersAheadMs()]);
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  const middle = values.length >> 1;
  return values.length % 2 === 1
    ? values[middle]
    : (values[middle - 1] + values[middle]) / 2;
}
