import {RECORD_INTERVAL_MS} from './restart_doubt.js';
import {upstreamKey, type UpstreamStart} from './upstream_key.js';

/** Time after its end for which a cold time is kept, in milliseconds; the rate rises meanwhile. */
const KEPT_MS = 600_000;

/** Cold times that upstreams state in their records and responses. */
export interface ColdPeriods {
  /** Applies a record that was read now; without a time it changes nothing. */
  applyRecord(
    upstream: UpstreamStart,
    coldMs: number | undefined,
    nowMs: number,
  ): void;
  /** Applies a response to a request that was sent at a time. */
  applyResponse(
    upstream: UpstreamStart,
    coldMs: number,
    sentAtMs: number,
    nowMs: number,
  ): void;
  /** Returns the end of the latest cold time; -Infinity if there was none. */
  endMs(upstream: UpstreamStart): number;
  /** Removes cold times that ended long ago. */
  prune(nowMs: number): void;
}

interface Period {
  endMs: number;
  recordReadAtMs: number;
  respondedAtMs: number;
}

/**
 * Creates a set without cold times. The newer of record and response applies. Where it
 * is not certain which one is newer, the longer cold time applies.
 */
export function createColdPeriods(): ColdPeriods {
  const periods = new Map<string, Period>();
  const periodOf = (upstream: UpstreamStart, coldMs: number) => {
    const key = upstreamKey(upstream);
    let period = periods.get(key);
    if (!period && coldMs > 0) {
      period = {
        endMs: -Infinity,
        recordReadAtMs: -Infinity,
        respondedAtMs: -Infinity,
      };
      periods.set(key, period);
    }
    return period;
  };
  /** Sets the end. A cold time that has ended already keeps its end, from which the rate rises. */
  const setEnd = (period: Period, endMs: number, isNewer: boolean) => {
    if (endMs > period.endMs) period.endMs = endMs;
    else if (isNewer) period.endMs = endMs;
  };
  return {
    applyRecord(upstream, coldMs, nowMs) {
      if (coldMs === undefined) return;
      const period = periodOf(upstream, coldMs);
      if (!period) return;
      period.recordReadAtMs = nowMs;
      if (coldMs === 0 && period.endMs <= nowMs) return;
      // The record may have been written this long before it is read.
      const isNewer = nowMs - period.respondedAtMs > RECORD_INTERVAL_MS;
      setEnd(period, nowMs + coldMs, isNewer);
    },
    applyResponse(upstream, coldMs, sentAtMs, nowMs) {
      const period = periodOf(upstream, coldMs);
      if (!period) return;
      const isNewer =
        sentAtMs > period.recordReadAtMs && sentAtMs > period.respondedAtMs;
      period.respondedAtMs = Math.max(period.respondedAtMs, nowMs);
      if (coldMs === 0 && period.endMs <= nowMs) return;
      setEnd(period, nowMs + coldMs, isNewer);
    },
    endMs: upstream =>
      periods.size === 0
        ? -Infinity
        : (periods.get(upstreamKey(upstream))?.endMs ?? -Infinity),
    prune(nowMs) {
      for (const [key, {endMs}] of periods) {
        if (nowMs - endMs >= KEPT_MS) periods.delete(key);
      }
    },
  };
}
