import {nameMapOf, stringifyNameMaps} from '@sardinestile/types';
import {z} from 'zod';
import {STREAM_LIFETIME_MS} from './version_history.js';

/** Age at which the time at which a value was last seen is written again, in milliseconds. */
const RENEWAL_INTERVAL_MS = 20_000;

/**
 * Largest difference between the clocks of a gateway that wrote a time and one that
 * reads it, in milliseconds.
 */
const MAX_CLOCK_DIFFERENCE_MS = 10_000;

/**
 * Age at which a value can have begun no stream that may still be resumed, in
 * milliseconds.
 */
export const VALUE_LIFETIME_MS =
  STREAM_LIFETIME_MS + RENEWAL_INTERVAL_MS + MAX_CLOCK_DIFFERENCE_MS;

/** Schema of RecentValues. */
const recentValuesSchema = z.object({
  /** Store generation in which it was written; a restore may have undone changes of earlier ones. */
  generation: z.number().int(),
  /** Unix time since which the values are complete; 0 for the whole life of the fleet. */
  completeSinceMs: z.number(),
  /** Unix time at which each value was last seen, by name and value. */
  values: nameMapOf(nameMapOf(z.number())),
});

/**
 * Values that were seen lately under names, such as the software versions of services, as the
 * gateways of a fleet record them.
 */
export type RecentValues = z.infer<typeof recentValuesSchema>;

/** A value that is seen under a name. */
export interface NamedValue {
  name: string;
  value: string;
}

/** What a gateway observes when it reads or writes values. */
export interface ValueObservation {
  /** All values that it sees now. */
  seen: readonly NamedValue[];
  /** Generation of the store. */
  generation: number;
  /** Unix time on which the gateways agree, in milliseconds. */
  nowMs: number;
}

/** What a gateway observes and knows when it writes values. */
export interface ValueUpdate extends ValueObservation {
  /** Whether no gateway of this fleet ran before, so that a missing record means that nothing was seen. */
  isFirstStart: boolean;
  /** What this gateway last read or wrote; undefined if it has done neither. */
  known: RecentValues | undefined;
}

/** Encodes and decodes values as JSON. */
export interface RecentValuesCodec {
  encode(recent: RecentValues): string;
  /** Throws if the text does not hold any. */
  decode(text: string): RecentValues;
}

/** Creates a codec whose texts have the values in a field, as other builds read it. */
export function createRecentValuesCodec(field: string): RecentValuesCodec {
  return {
    encode: ({values, ...rest}) =>
      stringifyNameMaps({...rest, [field]: values}),
    decode(text) {
      const {[field]: values, ...rest} = JSON.parse(text);
      return recentValuesSchema.parse({...rest, values});
    },
  };
}

/**
 * Returns the values to write; undefined if those that are stored need no change. Values are
 * never lost by it: times only rise, and those of before a restore of the store are taken from
 * what this gateway knew. A value is removed when no stream that it began can be resumed any
 * more.
 */
export function mergeRecentValues(
  stored: RecentValues | undefined,
  update: ValueUpdate,
): RecentValues | undefined {
  const {seen, generation, nowMs, known} = update;
  const isCurrent = stored?.generation === generation;
  const values: RecentValues['values'] = new Map();
  const raise = (name: string, value: string, atMs: number) => {
    const times = values.get(name) ?? new Map<string, number>();
    times.set(value, Math.max(times.get(value) ?? 0, atMs));
    values.set(name, times);
  };
  let hasChanged = !isCurrent;
  for (const source of [stored, isCurrent ? undefined : known]) {
    for (const [name, times] of source?.values ?? []) {
      for (const [value, atMs] of times) {
        if (nowMs - atMs < VALUE_LIFETIME_MS) raise(name, value, atMs);
      }
    }
  }
  for (const {name, value} of seen) {
    const atMs = values.get(name)?.get(value) ?? 0;
    if (nowMs - atMs < RENEWAL_INTERVAL_MS) continue;
    raise(name, value, nowMs);
    hasChanged = true;
  }
  if (!hasChanged) return undefined;
  return {
    generation,
    completeSinceMs: completeSinceMs(stored, update),
    values,
  };
}

function completeSinceMs(
  stored: RecentValues | undefined,
  {generation, nowMs, isFirstStart, known}: ValueUpdate,
): number {
  if (!stored) return known?.completeSinceMs ?? (isFirstStart ? 0 : nowMs);
  if (stored.generation === generation) return stored.completeSinceMs;
  // Without own knowledge, changes of just before the restore may be missing.
  return known ? known.completeSinceMs : nowMs;
}

/**
 * Returns all values of a name under which a stream may have begun that can still be resumed;
 * undefined if it is not certain that there are no others.
 */
export function listRecentValues(
  stored: RecentValues | undefined,
  name: string,
  {seen, generation, nowMs}: ValueObservation,
): ReadonlySet<string> | undefined {
  if (!stored || stored.generation !== generation) return undefined;
  const isComplete =
    stored.completeSinceMs === 0 ||
    nowMs - stored.completeSinceMs >= VALUE_LIFETIME_MS;
  if (!isComplete) return undefined;
  const values = new Set<string>();
  for (const [value, atMs] of stored.values.get(name) ?? []) {
    if (nowMs - atMs < VALUE_LIFETIME_MS) values.add(value);
  }
  for (const other of seen) if (other.name === name) values.add(other.value);
  return values;
}
