import type {Clock} from '@sardinestile/types';

/** Rate at which the smooth time follows the time of day: a step of 3 s that lasts 5 s moves it by 5 ms. */
const SLEW_RATE = 0.001;

/**
 * Time of day that no step moves: read once, then advanced by the steady clock,
 * and slowly led to where the time of day is for good.
 */
export function createSmoothTime(clock: Clock): () => number {
  let smoothMs = clock.wallMs();
  let readAtMs = clock.monotonicMs();
  return () => {
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - readAtMs;
    readAtMs = nowMs;
    smoothMs += elapsedMs;
    const offMs = clock.wallMs() - smoothMs;
    const slewMs = SLEW_RATE * elapsedMs;
    smoothMs += Math.max(-slewMs, Math.min(slewMs, offMs));
    return smoothMs;
  };
}

/**
 * Time of day that the wrong clock of one instance does not move: corrected by
 * the median of how far the peers' smooth times are ahead, this one's counted
 * as 0.
 */
export function createTrueTime(
  smoothTimeMs: () => number,
  peersAheadMs: () => readonly number[],
): () => number {
  return () => smoothTimeMs() + median([0, ...peersAheadMs()]);
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  const middle = values.length >> 1;
  return values.length % 2 === 1
    ? values[middle]
    : (values[middle - 1] + values[middle]) / 2;
}
