import type {Clock} from '@sardinestile/types';

/**
 * Largest correction per elapsed time. A wall clock that is wrong by 3 s for 5 s
 * shifts the slewed time by only 5 ms.
 */
const SLEW_RATE = 0.001;

/**
 * Creates a wall-clock time that never jumps: it starts at the wall clock,
 * advances with the monotonic clock, and is slewed slowly towards the wall clock
 * so that steps of the wall clock have little effect unless they last.
 */
export function createSlewedTime(clock: Clock): () => number {
  let slewedMs = clock.wallMs();
  let readAtMs = clock.monotonicMs();
  return () => {
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - readAtMs;
    readAtMs = nowMs;
    slewedMs += elapsedMs;
    const offsetMs = clock.wallMs() - slewedMs;
    const maxSlewMs = SLEW_RATE * elapsedMs;
    slewedMs += Math.max(-maxSlewMs, Math.min(maxSlewMs, offsetMs));
    return slewedMs;
  };
}

/**
 * Creates a time that is right even if the clock of one instance is wrong. It
 * adds the median offset of the peers' slewed times from this one; this
 * instance counts as an offset of 0.
 */
export function createPeerAdjustedTime(
  slewedTimeMs: () => number,
  peerOffsetsMs: () => readonly number[],
): () => number {
  return () => slewedTimeMs() + median([0, ...peerOffsetsMs()]);
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  const middle = values.length >> 1;
  return values.length % 2 === 1
    ? values[middle]
    : (values[middle - 1] + values[middle]) / 2;
}
