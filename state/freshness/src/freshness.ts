import type {Clock} from '@sardinestile/types';

/** A reading of both clocks. */
export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

/** Reads both clocks of a process. */
export function readClocks(clock: Clock): ClockReading {
  return {monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs()};
}

/**
 * Time between two readings: the larger advance, since a suspended machine's
 * steady clock stands still and its time of day may step.
 */
export function elapsedMs(since: ClockReading, now: ClockReading): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}

/** Knows since when a view was proved to be current. */
export interface Freshness {
  /** Notes that an answer showed the state as of some moment after `sentAt`. */
  prove(sentAt: ClockReading): void;
  /** Upper bound of the view's age; infinite without a proof. */
  ageMs(now: ClockReading): number;
  /** Drops the proof, for instance after the process stood still. */
  invalidate(): void;
}

/** Makes a view without proof. */
export function createFreshness(): Freshness {
  let provedAt: ClockReading | undefined;
  return {
    prove(sentAt) {
      if (!provedAt || sentAt.monotonicMs > provedAt.monotonicMs) {
        provedAt = sentAt;
      }
    },
    ageMs: now => (provedAt ? elapsedMs(provedAt, now) : Infinity),
    invalidate() {
      provedAt = undefined;
    },
  };
}
