import type {HarmfulPart, UpstreamCrash} from './evidence_item.js';
import {isFingerprint} from './request_profile.js';

/** Crashes after which the only part that explains them counts as harmful. */
const CRASHES_WITH_ONE_SUSPECT = 3;

/** Crashes after which several prompt parts that explain them equally well count as harmful. */
const CRASHES_WITH_MANY_SUSPECTS = 5;

/** Number of crash times after which a part that was answered before counts as harmful. */
const CRASH_TIMES_OF_ANSWERED_PART = 3;

/** What crashes have to show before a part is blamed for them. */
interface Criteria {
  /** Crashes within this time count as one, in milliseconds. */
  sameTimeMs: number;
  /**
   * A part is not blamed for crashes that come together within this time, in
   * milliseconds, unless it explains most of them: upstreams that end together were
   * usually ended by something else than one request each.
   */
  togetherMs: number;
  /**
   * Smallest product of the crashes that a part explains and their share of all
   * crashes since the first of them. With many crashes for other reasons, each part
   * meets a few of them by chance.
   */
  minExplainedWeight: number;
}

const PROMPT_PART_CRITERIA: Criteria = {
  sameTimeMs: 50,
  togetherMs: 50,
  minExplainedWeight: 1.5,
};

/**
 * A request that no upstream ever answered is at one upstream at a time, so that it
 * meets few crashes by chance, however many there are. Its retries may follow each
 * other closely.
 */
const REQUEST_CRITERIA: Criteria = {
  sameTimeMs: 25,
  togetherMs: 0,
  minExplainedWeight: 0,
};

/** Parts and requests that were answered before are popular more often. */
const ANSWERED_CRITERIA: Criteria = {
  sameTimeMs: 1_000,
  togetherMs: 50,
  minExplainedWeight: 1.5,
};

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
  criteria: Criteria;
  crashes: UpstreamCrash[];
}

/**
 * Returns the prompt parts and requests that crashed upstreams. A crash that one of
 * them explains is no evidence against prompt parts, so that those of requests that
 * were lost together with harmful ones are not blamed. Parts that were answered
 * before are considered only for crashes that no other part explains.
 */
export function findHarmfulParts({
  crashes,
  answeredAtMs,
}: CrashRecords): HarmfulPart[] {
  const harmful = new Map<string, Suspect>();
  let unexplained = [...crashes];
  for (;;) {
    const suspects = findSuspects(unexplained, answeredAtMs);
    let found = selectUnanswered(suspects, unexplained);
    if (found.length === 0) found = selectAnswered(suspects, unexplained);
    if (found.length === 0) break;
    for (const suspect of found) harmful.set(suspect.partId, suspect);
    unexplained = withoutExplained(unexplained, found);
  }
  const promptParts = [...harmful.values()].filter(
    ({partId}) => !isFingerprint(partId),
  );
  const left = withoutExplained(crashes, promptParts);
  for (const suspect of findSuspects(left, answeredAtMs)) {
    if (isHarmfulRequest(suspect)) harmful.set(suspect.partId, suspect);
  }
  return [...harmful.values()].map(toHarmfulPart);
}

/**
 * Whether a request was lost in so many crashes, and never answered, that it must not
 * be sent again. Another harmful request does not excuse it: both may have been at the
 * same upstreams. If it is harmless, only its own caller misses it.
 */
function isHarmfulRequest(suspect: Suspect): boolean {
  return (
    isFingerprint(suspect.partId) &&
    !suspect.wasAnswered &&
    countTimes(suspect, suspect.crashes) >= CRASHES_WITH_ONE_SUSPECT
  );
}

function withoutExplained(
  crashes: readonly UpstreamCrash[],
  explanations: readonly Suspect[],
): UpstreamCrash[] {
  const ids = new Set(explanations.map(({partId}) => partId));
  return crashes.filter(({parts}) => !parts.some(({id}) => ids.has(id)));
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
      const criteria = criteriaFor(id, wasAnswered);
      const first = {partId: id, depth, wasAnswered, criteria};
      suspects.set(id, {...first, crashes: [crash]});
    }
  }
  return [...suspects.values()]
    .filter(suspect => suspect.crashes.length >= CRASHES_WITH_ONE_SUSPECT)
    .map(suspect => ({
      ...suspect,
      crashes: withoutCrashesOfOthers(suspect, crashes),
    }));
}

function criteriaFor(partId: string, wasAnswered: boolean): Criteria {
  if (wasAnswered) return ANSWERED_CRITERIA;
  return isFingerprint(partId) ? REQUEST_CRITERIA : PROMPT_PART_CRITERIA;
}

/** Returns the suspect's crashes without those that came together with many others. */
function withoutCrashesOfOthers(
  suspect: Suspect,
  allCrashes: readonly UpstreamCrash[],
): UpstreamCrash[] {
  const {togetherMs} = suspect.criteria;
  if (togetherMs === 0) return suspect.crashes;
  return suspect.crashes.filter(({atMs}) => {
    const isSimultaneous = (other: UpstreamCrash) =>
      Math.abs(other.atMs - atMs) < togetherMs;
    const explained = suspect.crashes.filter(isSimultaneous).length;
    return explained > allCrashes.filter(isSimultaneous).length / 2;
  });
}

/**
 * Returns those of the parts that were never answered that explain the most
 * crashes. Of parts that explain as many, those furthest into the request are
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
      times: countTimes(suspect, suspect.crashes),
    }));
  const most = Math.max(0, ...candidates.map(({times}) => times));
  const leaders = candidates.filter(({times}) => times === most);
  const deepest = Math.max(...leaders.map(({depth}) => depth));
  const blamed = leaders.filter(({depth}) => depth === deepest);
  const isCertain = blamed.length === 1 || blamed.every(isHarmfulRequest);
  const required = isCertain
    ? CRASHES_WITH_ONE_SUSPECT
    : CRASHES_WITH_MANY_SUSPECTS;
  if (most < required) return [];
  return blamed.filter(suspect => explainsEnough(suspect, allCrashes));
}

/** Returns the most harmful one of the parts that were answered before the crashes. */
function selectAnswered(
  suspects: readonly Suspect[],
  allCrashes: readonly UpstreamCrash[],
): readonly Suspect[] {
  return suspects
    .filter(
      suspect =>
        suspect.wasAnswered &&
        suspect.crashes.length >= CRASHES_WITH_MANY_SUSPECTS &&
        countTimes(suspect, suspect.crashes) >= CRASH_TIMES_OF_ANSWERED_PART &&
        explainsEnough(suspect, allCrashes),
    )
    .sort((a, b) => b.crashes.length - a.crashes.length || b.depth - a.depth)
    .slice(0, 1);
}

/** Whether a part explains a good share of the crashes since its first one. */
function explainsEnough(
  suspect: Suspect,
  allCrashes: readonly UpstreamCrash[],
): boolean {
  const {crashes, criteria} = suspect;
  if (crashes.length === 0) return false;
  const firstAtMs = Math.min(...crashes.map(({atMs}) => atMs));
  const since = allCrashes.filter(({atMs}) => atMs >= firstAtMs);
  const explained = countTimes(suspect, crashes);
  const share = explained / countTimes(suspect, since);
  return explained * share >= criteria.minExplainedWeight;
}

/** Counts crashes; those at the same time, by the suspect's criteria, count once. */
function countTimes(
  {criteria}: Suspect,
  crashes: readonly UpstreamCrash[],
): number {
  const times = crashes.map(({atMs}) => atMs).sort((a, b) => a - b);
  let count = 0;
  let lastMs = -Infinity;
  for (const atMs of times) {
    if (atMs - lastMs < criteria.sameTimeMs) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}
