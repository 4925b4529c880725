import {upstreamKey, type UpstreamStart} from './upstream_key.js';

/**
 * Longest time from the start of an upstream until the store has its record, in
 * milliseconds. Records are written again about every 1,200 ms.
 */
export const RECORD_INTERVAL_MS = 1_500;

/** Time after which a doubt about an upstream that is not registered is forgotten, in milliseconds. */
const DOUBT_LIFETIME_MS = 600_000;

/**
 * Upstreams that may have restarted under their id. One that refuses a connection or
 * loses one during a request may be another process, with other software and cold, as soon
 * as it answers again; its record shows it later.
 */
export interface RestartDoubts {
  /** Records a refused or lost connection. Returns whether the upstream was not in doubt. */
  recordLoss(upstream: UpstreamStart, nowMs: number): boolean;
  /** Records an answer to a request that was sent at a time. */
  recordAnswer(upstream: UpstreamStart, sentAtMs: number, nowMs: number): void;
  /**
   * Ends the doubts about upstreams that the list of upstreams as of a time contains, if
   * it is later than their answer by the interval of the records. Returns the upstreams.
   */
  recordListRead(
    listAsOfMs: number,
    nowMs: number,
    isListed: (upstream: UpstreamStart) => boolean,
  ): readonly UpstreamStart[];
  includes(upstream: UpstreamStart): boolean;
}

interface Doubt {
  upstream: UpstreamStart;
  lostAtMs: number;
  /** Time of the first answer after the loss. */
  answeredAtMs: number | undefined;
}

/** Creates a set without doubts. */
export function createRestartDoubts(): RestartDoubts {
  const doubts = new Map<string, Doubt>();
  const doubtOf = (upstream: UpstreamStart) =>
    doubts.size === 0 ? undefined : doubts.get(upstreamKey(upstream));
  return {
    recordLoss({id, startedAtWallMs}, nowMs) {
      const upstream = {id, startedAtWallMs};
      const isNew = doubtOf(upstream) === undefined;
      doubts.set(upstreamKey(upstream), {
        upstream,
        lostAtMs: nowMs,
        answeredAtMs: undefined,
      });
      return isNew;
    },
    recordAnswer(upstream, sentAtMs, nowMs) {
      const doubt = doubtOf(upstream);
      if (!doubt || sentAtMs <= doubt.lostAtMs) return;
      doubt.answeredAtMs ??= nowMs;
    },
    recordListRead(listAsOfMs, nowMs, isListed) {
      const ended: UpstreamStart[] = [];
      for (const [key, doubt] of doubts) {
        const {upstream, lostAtMs, answeredAtMs = Infinity} = doubt;
        const isRegistered = isListed(upstream);
        const isForgotten =
          !isRegistered && nowMs - lostAtMs >= DOUBT_LIFETIME_MS;
        const isEnded =
          isRegistered && listAsOfMs >= answeredAtMs + RECORD_INTERVAL_MS;
        if (isEnded) ended.push(upstream);
        if (isEnded || isForgotten) doubts.delete(key);
      }
      return ended;
    },
    includes: upstream => doubtOf(upstream) !== undefined,
  };
}
