import {hashText, rendezvousWeight} from '@sardinestile/placement';
import {createDecayingSum} from './decaying_sum.js';
import type {UpstreamRecord} from './fleet_types.js';

/** Time constant of the average demand for prefill of long prompts. */
const DEMAND_TIME_CONSTANT_MS = 4_000;

/** Target share of time that engines for long prompts spend on prefill. */
const LONG_UTILISATION_TARGET = 0.5;

/** Target share of slots that are in use on engines for short prompts. */
const SHORT_UTILISATION_TARGET = 0.7;

/**
 * Share of the target gap between events that the prefill of a prompt may take
 * on an engine with running streams.
 */
export const PREFILL_GAP_SHARE = 0.6;

/**
 * Divides the engines of a service between long and short prompts. The prefill
 * of a long prompt pauses every stream on the same engine, so streams with a
 * short target gap run on other engines.
 */
export interface PromptPartition {
  /** Whether a prefill of this length makes streams on the same engine late. */
  isLongPrefill(prefillMs: number): boolean;
  /** Changes the number of running requests with a short prompt. */
  adjustShortRunning(change: 1 | -1): void;
  /** Records that a long prompt was placed. */
  recordLongPrompt(prefillMs: number, nowMs: number): void;
  /**
   * Returns the ids of the engines for long prompts. Every gateway ranks the
   * engines in the same order.
   */
  longPromptEngines(
    records: readonly UpstreamRecord[],
    nowMs: number,
  ): ReadonlySet<string>;
}

/**
 * Creates a partition without demand. `shortestTargetGapMs` returns the
 * shortest target gap between events on the routes of the service.
 */
export function createPromptPartition(
  service: string,
  shortestTargetGapMs: () => number,
): PromptPartition {
  const demand = createDecayingSum(DEMAND_TIME_CONSTANT_MS);
  const serviceHash = hashText(service);
  let shortRunning = 0;
  return {
    isLongPrefill: prefillMs =>
      prefillMs > PREFILL_GAP_SHARE * shortestTargetGapMs(),
    adjustShortRunning(change) {
      shortRunning += change;
    },
    recordLongPrompt: (prefillMs, nowMs) => demand.add(prefillMs, nowMs),
    longPromptEngines(records, nowMs) {
      // The rate is prefill time per unit of time, which is the number of engines
      // that long prompts keep fully busy.
      const wantedEngines = Math.ceil(
        demand.rate(nowMs) / LONG_UTILISATION_TARGET,
      );
      const slots = records[0]?.places ?? 1;
      const enginesForShort = Math.max(
        1,
        Math.ceil(shortRunning / (SHORT_UTILISATION_TARGET * slots)),
      );
      const longEngineCount = Math.max(
        Math.min(1, wantedEngines),
        Math.min(records.length - enginesForShort, wantedEngines),
      );
      const ranked = records
        .map(({id}) => ({
          id,
          weight: rendezvousWeight(serviceHash, hashText(id)),
        }))
        .sort((a, b) => b.weight - a.weight);
      return new Set(ranked.slice(0, longEngineCount).map(({id}) => id));
    },
  };
}
