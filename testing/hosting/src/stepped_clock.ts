import {createSystemClock, type Clock} from '@sardinestile/types';

/** A process's clocks, which a test moves as a step, a freeze or a suspension would. */
export interface SteppedClock extends Clock {
  /** Moves the time of day alone. */
  stepWall(byMs: number): void;
  /** Moves both clocks, as a freeze does for the process that it ends for. */
  passTime(byMs: number): void;
}

/** The system's clocks, moved by what a test asks for. */
export function createSteppedClock(): SteppedClock {
  const system = createSystemClock();
  let wallOffsetMs = 0;
  let steadyOffsetMs = 0;
  return {
    monotonicMs: () => system.monotonicMs() + steadyOffsetMs,
    wallMs: () => system.wallMs() + wallOffsetMs,
    stepWall(byMs) {
      wallOffsetMs += byMs;
    },
    passTime(byMs) {
      wallOffsetMs += byMs;
      steadyOffsetMs += byMs;
    },
  };
}
