import {createSystemClock, type Clock} from '@sardinestile/types';

/** A clock that a test can move as a clock step or a pause of the process would. */
export interface SteppedClock extends Clock {
  /** Moves only the wall clock. */
  stepWall(byMs: number): void;
  /** Moves both clocks forward, as a pause of the process does. */
  advance(byMs: number): void;
}

/** Creates a clock that follows the system clock plus the offsets set by a test. */
export function createSteppedClock(): SteppedClock {
  const system = createSystemClock();
  let wallOffsetMs = 0;
  let monotonicOffsetMs = 0;
  return {
    monotonicMs: () => system.monotonicMs() + monotonicOffsetMs,
    wallMs: () => system.wallMs() + wallOffsetMs,
    stepWall(byMs) {
      wallOffsetMs += byMs;
    },
    advance(byMs) {
      wallOffsetMs += byMs;
      monotonicOffsetMs += byMs;
    },
  };
}
