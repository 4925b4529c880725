import {isDeepStrictEqual} from 'node:util';
import {createCrashIndex} from './crash_index.js';
import type {
  SharedPart,
  EvidenceItem,
  HarmfulPart,
  PartAnswer,
  UpstreamCrash,
} from './evidence_item.js';
import {isFingerprint} from './request_profile.js';

/** Most crashes that are kept; the latest ones. */
const MAX_CRASHES = 64;

/** Most harmful parts that are kept; those with the latest crashes. */
const MAX_HARMFUL_PARTS = 200;

/** Time for which a crash is evidence, in milliseconds. */
const CRASH_LIFETIME_MS = 15 * 60_000;

/** Time after its last crash for which a part is harmful, in milliseconds. */
export const HARMFUL_LIFETIME_MS = 24 * 3_600_000;

/**
 * Crashes, answers and harmful parts, merged from all gateways. Merging is
 * commutative and idempotent, so that gateways that received the same items in
 * any order have the same evidence.
 */
export interface CrashEvidence {
  /** Adds an item. Returns whether it changed the evidence. */
  merge(item: EvidenceItem): boolean;
  /** Removes what is too old at a time in Unix milliseconds. */
  prune(nowMs: number): void;
  /**
   * Returns the crashes that no harmful prompt part explains. Those under harmful
   * requests are included: several requests may be harmful for a part that they share.
   */
  openCrashes(): readonly UpstreamCrash[];
  /** Time of the latest known answer to a request with the part, if it is part of the evidence. */
  answeredAtMs(partId: string): number | undefined;
  /** Returns the record of a part that is harmful: it was not answered since its last crash. */
  harmfulPart(partId: string): HarmfulPart | undefined;
  harmfulParts(): readonly HarmfulPart[];
  /** Number of crashes that are known in which the part was a suspect. */
  crashCount(partId: string): number;
  /** Number of crashes under the part since the last answer to a request with it. */
  crashesSinceAnswer(partId: string): number;
  /** Whether a crash or a verdict names the fingerprint of a request. */
  namesRequests(): boolean;
  /** Returns the evidence that others need: no explained crash and no answered part; the latest crashes first. */
  items(): readonly EvidenceItem[];
}

/** Creates empty evidence. */
export function createCrashEvidence(): CrashEvidence {
  const crashes = new Map<string, UpstreamCrash>();
  const answers = new Map<string, PartAnswer>();
  const harmful = new Map<string, HarmfulPart>();
  /** Crashes by the parts that were suspects in them; each answer is looked up here. */
  const crashesByPart = createCrashIndex();

  const isAnsweredSince = (partId: string, atMs: number) =>
    (answers.get(partId)?.atMs ?? -Infinity) >= atMs;
  const harmfulPart = (partId: string) => {
    const part = harmful.get(partId);
    return part && !isAnsweredSince(partId, part.lastCrashAtMs)
      ? part
      : undefined;
  };
  const openCrashes = () =>
    [...crashes.values()].filter(
      ({parts}) => !parts.some(({id}) => !isFingerprint(id) && harmfulPart(id)),
    );
  const mergeCrash = (crash: UpstreamCrash): boolean => {
    const key = `${crash.startedAtWallMs} ${crash.upstreamId}`;
    const known = crashes.get(key);
    const merged = {
      ...crash,
      parts: mergeParts(known?.parts ?? [], crash.parts),
      atMs: Math.min(known?.atMs ?? Infinity, crash.atMs),
    };
    if (known && isDeepStrictEqual(known, merged)) return false;
    if (known) crashesByPart.remove(known);
    crashes.set(key, merged);
    crashesByPart.add(merged);
    if (crashes.size > MAX_CRASHES) {
      crashesByPart.remove(deleteOldest(crashes, ({atMs: time}) => time));
    }
    return true;
  };
  const mergeAnswer = (answer: PartAnswer): boolean => {
    if (isAnsweredSince(answer.partId, answer.atMs)) return false;
    answers.set(answer.partId, answer);
    return true;
  };
  const mergeHarmful = (part: HarmfulPart): boolean => {
    const known = harmful.get(part.partId);
    const count = Math.max(known?.crashes ?? 0, part.crashes);
    const lastMs = Math.max(known?.lastCrashAtMs ?? 0, part.lastCrashAtMs);
    if (known?.crashes === count && known.lastCrashAtMs === lastMs) {
      return false;
    }
    harmful.set(part.partId, {...part, crashes: count, lastCrashAtMs: lastMs});
    if (harmful.size > MAX_HARMFUL_PARTS) {
      deleteOldest(harmful, ({lastCrashAtMs}) => lastCrashAtMs);
    }
    return true;
  };
  const mergeHandlers: {
    [K in EvidenceItem['kind']]: (
      item: Extract<EvidenceItem, {kind: K}>,
    ) => boolean;
  } = {crash: mergeCrash, answer: mergeAnswer, harmful: mergeHarmful};
  return {
    merge: item =>
      (mergeHandlers[item.kind] as (item: EvidenceItem) => boolean)(item),
    prune(nowMs) {
      for (const [key, crash] of crashes) {
        if (nowMs - crash.atMs < CRASH_LIFETIME_MS) continue;
        crashes.delete(key);
        crashesByPart.remove(crash);
      }
      for (const [partId, {lastCrashAtMs}] of harmful) {
        if (nowMs - lastCrashAtMs >= HARMFUL_LIFETIME_MS) {
          harmful.delete(partId);
        }
      }
      for (const partId of answers.keys()) {
        const isKnown =
          crashesByPart.of(partId).length > 0 || harmful.has(partId);
        if (!isKnown) answers.delete(partId);
      }
    },
    openCrashes,
    answeredAtMs: partId => answers.get(partId)?.atMs,
    harmfulPart,
    harmfulParts: () =>
      [...harmful.keys()].flatMap(partId => harmfulPart(partId) ?? []),
    crashCount: partId => crashesByPart.of(partId).length,
    crashesSinceAnswer: partId =>
      crashesByPart
        .of(partId)
        .filter(({atMs}) => !isAnsweredSince(partId, atMs)).length,
    namesRequests: () =>
      crashesByPart.namesRequests() || [...harmful.keys()].some(isFingerprint),
    items() {
      const latestFirst = [...openCrashes()].sort((a, b) => b.atMs - a.atMs);
      const open = latestFirst.flatMap(crash => {
        const parts = crash.parts.filter(({id}) => !answers.has(id));
        return parts.length === 0 ? [] : [{...crash, parts}];
      });
      const releases = [...harmful.keys()].flatMap(
        partId => answers.get(partId) ?? [],
      );
      return [...harmful.values(), ...releases, ...open];
    },
  };
}

/** Returns the union, ordered by id. */
function mergeParts(
  one: readonly SharedPart[],
  other: readonly SharedPart[],
): SharedPart[] {
  const depths = new Map<string, number>();
  for (const {id, depth} of [...one, ...other]) {
    depths.set(id, Math.min(depth, depths.get(id) ?? Infinity));
  }
  return [...depths]
    .map(([id, depth]) => ({id, depth}))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Removes the entry with the earliest time and returns its value. */
function deleteOldest<T>(map: Map<string, T>, timeOf: (value: T) => number): T {
  const entries = [...map].sort(([, a], [, b]) => timeOf(a) - timeOf(b));
  const [key, value] = entries[0];
  map.delete(key);
  return value;
}
