import {hashText, rendezvousWeight} from '@sardinestile/placement';
import {createDecayingSum} from './decaying_sum.js';
import type {UpstreamRecord} from './fleet_types.js';

/** Time over which the demand of long prompts is averaged, in milliseconds. */
const DEMAND_MS = 4_000;

/** Share of their time that engines for long prompts should read. */
const TARGET_SHARE = 0.5;

/** Share of their places that engines for short prompts should have taken. */
const SHORT_PLACES_SHARE = 0.7;

/** Part of the wanted gap that reading a prompt may take beside running streams. */
export const PAUSE_SHARE = 0.6;

/**
 * Divides the engines of a service between long prompts and short ones. Reading
 * a long prompt pauses every stream at its engine, so that streams whose
 * callers want short gaps run apart from it.
 */
export interface PromptPartition {
  /** Whether reading takes so long that it makes streams beside it late. */
  isLong(readMs: number): boolean;
  /** Notes that a request with a short prompt began or ended. */
  countShort(by: 1 | -1): void;
  /** Notes a long prompt that was placed. */
  recordLong(workMs: number, nowMs: number): void;
  /** Ids of the engines that long prompts go to. */
  longEngines(
    records: readonly UpstreamRecord[],
    nowMs: number,
  ): ReadonlySet<string>;
}

/**
 * Makes a partition without demand. `shortestGapMs` is the shortest gap that
 * callers of the service want.
 */
export function createPromptPartition(
  service: string,
  shortestGapMs: () => number,
): PromptPartition {
  const demand = createDecayingSum(DEMAND_MS);
  const serviceHash = hashText(service);
  let shortRunning = 0;
  return {
    isLong: readMs => readMs > PAUSE_SHARE * shortestGapMs(),
    countShort(by) {
      shortRunning += by;
    },
    recordLong: (workMs, nowMs) => demand.add(workMs, nowMs),
    longEngines(records, nowMs) {
      const wanted = Math.ceil(demand.rate(nowMs) / TARGET_SHARE);
      const places = records[0]?.places ?? 1;
      const forShort = Math.max(
        1,
        Math.ceil(shortRunning / (SHORT_PLACES_SHARE * places)),
      );
      const count = Math.max(1, Math.min(records.length - forShort, wanted));
      const ranked = records
        .map(({id}) => ({
          id,
          weight: rendezvousWeight(serviceHash, hashText(id)),
        }))
        .sort((a, b) => b.weight - a.weight);
      return new Set(ranked.slice(0, count).map(({id}) => id));
    },
  };
}
