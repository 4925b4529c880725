import type {UpstreamRecord} from './fleet_types.js';

/** Longest time for which a period is kept, in milliseconds. */
const MAX_QUIET_MS = 3_600_000;

type Upstream = Pick<UpstreamRecord, 'id' | 'startedAtWallMs'>;

/**
 * Periods in which upstreams asked this gateway to send nothing. They are kept
 * apart from the registrations, so that they outlast a registration that is
 * removed and written again.
 */
export interface QuietPeriods {
  /** Records that an upstream wants no request for a time from now on. */
  start(upstream: Upstream, durationMs: number, nowMs: number): void;
  /** Returns the rest of an upstream's period; 0 if there is none. */
  remainingMs(upstream: Upstream, nowMs: number): number;
  /** Removes the periods that have ended. */
  prune(nowMs: number): void;
}

/** Creates a set without periods. */
export function createQuietPeriods(): QuietPeriods {
  const endsAtMs = new Map<string, number>();
  // A later start under the same id is another upstream, which did not ask.
  const keyOf = ({id, startedAtWallMs}: Upstream) => `${startedAtWallMs} ${id}`;
  return {
    start(upstream, durationMs, nowMs) {
      const key = keyOf(upstream);
      const endMs = nowMs + Math.min(MAX_QUIET_MS, durationMs);
      endsAtMs.set(key, Math.max(endMs, endsAtMs.get(key) ?? 0));
    },
    remainingMs: (upstream, nowMs) =>
      Math.max(0, (endsAtMs.get(keyOf(upstream)) ?? 0) - nowMs),
    prune(nowMs) {
      for (const [key, endMs] of endsAtMs) {
        if (endMs <= nowMs) endsAtMs.delete(key);
      }
    },
  };
}
