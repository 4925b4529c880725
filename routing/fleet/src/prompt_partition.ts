import {hashText, rendezvousWeight} from '@sardinestile/placement';
import {createDecayingSum} from './decaying_sum.js';
import type {UpstreamRecord} from './fleet_types.js';

/** Time constant of the average demand for prefill of long prompts. */
const DEMAND_TIME_CONSTANT_MS = 4_000;

/** Factor applied to older prefill times in their average with each new one. */
const PREFILL_DECAY_FACTOR = 0.99;

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
 * Target gap from which a stream tolerates the prefills of others, as a multiple of the
 * shortest one.
 */
const TOLERANT_GAP_FACTOR = 1.2;

/**
 * Mean prefill of tolerant streams, as a share of the shortest target gap, from which all
 * of them go to the engines for long prompts: several in a row make the streams with the
 * shortest gap late, and a prompt that is often used is cached on one side only.
 */
const TOLERANT_GAP_SHARE = 0.15;

/**
 * Divides the engines of a service between long and short prompts. The prefill
 * of a long prompt pauses every stream on the same engine, so streams with a
 * short target gap run on other engines.
 */
export interface PromptPartition {
  /**
   * Whether a request belongs on the engines for long prompts: its prefill makes streams
   * on the same engine late, or its own stream tolerates more and those like it do.
   */
  isLong(request: {prefillMs: number; targetGapMs?: number}): boolean;
  /** Records the prefill of a request that was placed. */
  recordPrefill(prefillMs: number, targetGapMs: number | undefined): void;
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
  const tolerantPrefill = createMovingAverage();
  let shortRunning = 0;
  const isTolerant = (targetGapMs: number | undefined) =>
    targetGapMs !== undefined &&
    targetGapMs > TOLERANT_GAP_FACTOR * shortestTargetGapMs();
  return {
    isLong({prefillMs, targetGapMs}) {
      const shortestMs = shortestTargetGapMs();
      if (prefillMs > PREFILL_GAP_SHARE * shortestMs) return true;
      return (
        isTolerant(targetGapMs) &&
        tolerantPrefill.mean() > TOLERANT_GAP_SHARE * shortestMs
      );
    },
    recordPrefill(prefillMs, targetGapMs) {
      if (isTolerant(targetGapMs)) tolerantPrefill.add(prefillMs);
    },
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

/** Returns a moving average of prefill times, in milliseconds; 0 without any. */
function createMovingAverage() {
  let sumMs = 0;
  let weight = 0;
  return {
    add(prefillMs: number) {
      sumMs = PREFILL_DECAY_FACTOR * sumMs + prefillMs;
      weight = PREFILL_DECAY_FACTOR * weight + 1;
    },
    mean: () => (weight === 0 ? 0 : sumMs / weight),
  };
}
