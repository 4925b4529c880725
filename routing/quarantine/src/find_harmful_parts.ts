import type {HarmfulPart, UpstreamCrash} from './evidence_item.js';

/** Crashes after which the only part that explains them counts as harmful. */
const CRASHES_WITH_ONE_SUSPECT = 3;

/** Crashes after which several parts that explain them equally well count as harmful. */
const CRASHES_WITH_MANY_SUSPECTS = 5;

/** Number of crash times after which a part that was answered before counts as harmful. */
const CRASH_TIMES_OF_ANSWERED_PART = 3;

/**
 * Smallest product of the crashes that a part explains and their share of all
 * crashes since the first of them. With many crashes for other reasons, each part
 * meets a few of them by chance.
 */
const MIN_EXPLAINED_WEIGHT = 1.5;

/**
 * Crashes within this time count as one, in milliseconds. A part is not blamed for
 * them unless it explains most of them: upstreams that end together were usually
 * ended by something else than one request each.
 */
const SAME_TIME_MS = 50;

/** The same for parts that were answered before, which are popular more often. */
const SAME_TIME_OF_ANSWERED_PART_MS = 1_000;

/** Evidence from which harmful parts are found. */
export interface CrashRecords {
  /** Crashes, one for each upstream. */
  crashes: readonly UpstreamCrash[];
  /** Time of the latest known answer to a request with the part; undefined if there is none. */
  answeredAtMs: (partId: string) => number | undefined;
}

/** A part with the crashes that it may explain: those since its last answer. */
interface Suspect {
  partId: string;
  depth: number;
  wasAnswered: boolean;
  crashes: UpstreamCrash[];
}

/**
 * Returns the parts that crashed upstreams. A crash that one harmful part explains
 * is no evidence against other parts, so that requests that were lost together with
 * harmful ones are not blamed. Parts that were answered before are considered only
 * for crashes that no other part explains.
 */
export function findHarmfulParts({
  crashes,
  answeredAtMs,
}: CrashRecords): HarmfulPart[] {
  const harmful: HarmfulPart[] = [];
  let unexplained = [...crashes];
  for (;;) {
    const suspects = findSuspects(unexplained, answeredAtMs);
    let found = selectUnanswered(suspects, unexplained);
    if (found.length === 0) found = selectAnswered(suspects, unexplained);
    if (found.length === 0) return harmful;
    harmful.push(...found.map(toHarmfulPart));
    const foundIds = new Set(found.map(({partId}) => partId));
    unexplained = unexplained.filter(
      ({parts}) => !parts.some(({id}) => foundIds.has(id)),
    );
  }
}

function toHarmfulPart({partId, crashes}: Suspect): HarmfulPart {
  return {
    kind: 'harmful',
    partId,
    crashes: crashes.length,
    lastCrashAtMs: Math.max(...crashes.map(({atMs}) => atMs)),
  };
}

function findSuspects(
  crashes: readonly UpstreamCrash[],
  answeredAtMs: CrashRecords['answeredAtMs'],
): readonly Suspect[] {
  const suspects = new Map<string, Suspect>();
  for (const crash of crashes) {
    for (const {id, depth} of crash.parts) {
      const lastAnswerAtMs = answeredAtMs(id);
      if ((lastAnswerAtMs ?? -Infinity) >= crash.atMs) continue;
      const suspect = suspects.get(id);
      if (suspect) {
        suspect.crashes.push(crash);
        continue;
      }
      const wasAnswered = lastAnswerAtMs !== undefined;
      suspects.set(id, {partId: id, depth, wasAnswered, crashes: [crash]});
    }
  }
  return [...suspects.values()].map(suspect => ({
    ...suspect,
    crashes: suspect.crashes.filter(({atMs}) => {
      const isSimultaneous = (other: UpstreamCrash) =>
        Math.abs(other.atMs - atMs) < SAME_TIME_MS;
      const explained = suspect.crashes.filter(isSimultaneous).length;
      return explained > crashes.filter(isSimultaneous).length / 2;
    }),
  }));
}

/**
 * Returns those of the parts that were never answered that explain the most
 * crashes. Of parts that explain as many, those furthest into the prompt are
 * blamed: fewer other requests share them.
 */
function selectUnanswered(
  suspects: readonly Suspect[],
  allCrashes: readonly UpstreamCrash[],
): readonly Suspect[] {
  const candidates = suspects
    .filter(({wasAnswered}) => !wasAnswered)
    .map(suspect => ({
      ...suspect,
      times: countTimes(suspect.crashes, SAME_TIME_MS),
    }));
  const most = Math.max(0, ...candidates.map(({times}) => times));
  if (most < CRASHES_WITH_ONE_SUSPECT) return [];
  const leaders = candidates.filter(({times}) => times === most);
  const deepest = Math.max(...leaders.map(({depth}) => depth));
  const blamed = leaders.filter(({depth}) => depth === deepest);
  const required =
    blamed.length === 1 ? CRASHES_WITH_ONE_SUSPECT : CRASHES_WITH_MANY_SUSPECTS;
  if (most < required) return [];
  return blamed.filter(suspect =>
    explainsEnough(suspect, allCrashes, SAME_TIME_MS),
  );
}

/** Returns the most harmful one of the parts that were answered before the crashes. */
function selectAnswered(
  suspects: readonly Suspect[],
  allCrashes: readonly UpstreamCrash[],
): readonly Suspect[] {
  const sameTimeMs = SAME_TIME_OF_ANSWERED_PART_MS;
  return suspects
    .filter(
      suspect =>
        suspect.wasAnswered &&
        suspect.crashes.length >= CRASHES_WITH_MANY_SUSPECTS &&
        countTimes(suspect.crashes, sameTimeMs) >=
          CRASH_TIMES_OF_ANSWERED_PART &&
        explainsEnough(suspect, allCrashes, sameTimeMs),
    )
    .sort((a, b) => b.crashes.length - a.crashes.length || b.depth - a.depth)
    .slice(0, 1);
}

/** Whether a part explains a good share of the crashes since its first one. */
function explainsEnough(
  {crashes}: Suspect,
  allCrashes: readonly UpstreamCrash[],
  sameTimeMs: number,
): boolean {
  const firstAtMs = Math.min(...crashes.map(({atMs}) => atMs));
  const since = allCrashes.filter(({atMs}) => atMs >= firstAtMs);
  const explained = countTimes(crashes, sameTimeMs);
  const share = explained / countTimes(since, sameTimeMs);
  return explained * share >= MIN_EXPLAINED_WEIGHT;
}

function countTimes(
  crashes: readonly UpstreamCrash[],
  sameTimeMs: number,
): number {
  const times = crashes.map(({atMs}) => atMs).sort((a, b) => a - b);
  let count = 0;
  let lastMs = -Infinity;
  for (const atMs of times) {
    if (atMs - lastMs < sameTimeMs) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}
