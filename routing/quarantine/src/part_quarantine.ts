import type {PromptPart} from '@sardinestile/ports';
import {LRUCache} from 'lru-cache';
import {createCrashEvidence} from './crash_evidence.js';
import type {EvidenceItem, HarmfulPart, SharedPart} from './evidence_item.js';
import {findHarmfulParts} from './find_harmful_parts.js';

/** Parts whose latest answers a gateway remembers. */
const MAX_ANSWERED_PARTS = 20_000;

/**
 * Time from a crash until it counts, in milliseconds. Meanwhile the other gateways
 * report which requests they had there and which parts they saw answered.
 */
const SETTLE_MS = 300;

/** Shortest interval at which an answer to a suspected part is reported again, in milliseconds. */
const ANSWER_REPORT_INTERVAL_MS = 500;

/** Crashes within this time of the last counted one are taken for the same, in milliseconds. */
const SAME_CRASH_MS = 200;

/**
 * Time from the last crash of a harmful part to a trial while few crashes speak
 * against it, in milliseconds: a part that is harmless is soon released.
 */
const EARLY_TRIAL_DELAY_MS = 30_000;

/** Crashes from which the part counts as harmful beyond doubt. */
const CRASHES_BEYOND_DOUBT = 5;

/** The time from there on, in milliseconds; each further crash doubles it. */
const TRIAL_DELAY_MS = 10 * 60_000;
const MAX_TRIAL_DELAY_MS = 4 * 3_600_000;

/** Shortest time after which a caller with a harmful part is told to return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 30_000;

/** Options for `createPartQuarantine`. */
export interface PartQuarantineOptions {
  /** Time in Unix milliseconds on which the gateways agree. */
  nowMs: () => number;
  /**
   * Whether this gateway, rather than another one of the fleet, may send the
   * trial with this key.
   */
  isTrialGateway: (trialKey: string) => boolean;
  /** Receives items that the other gateways have to get. */
  onItem: (item: EvidenceItem) => void;
  onQuarantined: (part: HarmfulPart) => void;
  onReleased: (partId: string) => void;
}

/** Why a request must not be sent. */
export interface QuarantineVerdict {
  part: HarmfulPart;
  /** Time after which the caller may try again, in milliseconds. */
  retryAfterMs: number;
}

/** Keeps requests with harmful prompt parts from the upstreams. */
export interface PartQuarantine {
  /**
   * Returns why a request must not be sent; undefined if it may. From time to
   * time one request of the fleet is let through as a trial.
   */
  check(parts: readonly PromptPart[]): QuarantineVerdict | undefined;
  /**
   * Whether an upstream has crashed under a part that was not answered since,
   * so that another upstream should not be risked for the same request.
   */
  isSuspected(parts: readonly PromptPart[]): boolean;
  /** Records that an upstream went on after it had begun to answer a request. */
  recordAnswer(parts: readonly PromptPart[]): void;
  /** Records an item that this gateway observed, or received from a peer or the store. */
  record(item: EvidenceItem, source: 'own' | 'other'): void;
  /** Decides on the crashes that have settled; called at short intervals. */
  evaluate(): void;
  harmfulParts(): readonly HarmfulPart[];
  /** Returns the evidence to store and to repeat to peers. */
  items(): readonly EvidenceItem[];
}

/** Returns the parts that other requests may share: all but the last. */
export function toSharedParts(parts: readonly PromptPart[]): SharedPart[] {
  return parts.slice(0, -1).map(({id}, depth) => ({id, depth}));
}

/** Creates a quarantine without evidence. */
export function createPartQuarantine(
  options: PartQuarantineOptions,
): PartQuarantine {
  const {nowMs, onItem} = options;
  const evidence = createCrashEvidence();
  const answeredAtMs = new LRUCache<string, number>({max: MAX_ANSWERED_PARTS});
  /** Parts that are harmful as of the last evaluation. */
  let quarantined = new Set<string>();
  let hasNewCrashes = false;
  /** Trials that this gateway has sent. */
  const sentTrials = new LRUCache<string, true>({max: MAX_ANSWERED_PARTS});

  const share = (item: EvidenceItem) => {
    if (evidence.merge(item)) onItem(item);
  };
  const reportAnswer = (partId: string, atMs: number) => {
    const knownMs = evidence.answeredAtMs(partId) ?? -Infinity;
    if (atMs - knownMs < ANSWER_REPORT_INTERVAL_MS) return;
    share({kind: 'answer', partId, atMs});
  };
  /** Counts crashes under parts that are harmful already. */
  const countFurtherCrash = (item: EvidenceItem) => {
    if (item.kind !== 'crash') return;
    for (const {id} of item.parts) {
      const part = evidence.harmfulPart(id);
      if (!part || item.atMs < part.lastCrashAtMs + SAME_CRASH_MS) continue;
      const crashes = part.crashes + 1;
      share({...part, crashes, lastCrashAtMs: item.atMs});
    }
  };
  const trialDelayMs = ({partId, crashes}: HarmfulPart) => {
    // The part may have crashed several upstreams at the same moment.
    const known = Math.max(crashes, evidence.crashCount(partId));
    const furtherCrashes = known - CRASHES_BEYOND_DOUBT;
    if (furtherCrashes < 0) return EARLY_TRIAL_DELAY_MS;
    return Math.min(MAX_TRIAL_DELAY_MS, TRIAL_DELAY_MS * 2 ** furtherCrashes);
  };
  const tryStartTrial = (part: HarmfulPart, sinceCrashMs: number): boolean => {
    const round = Math.floor(sinceCrashMs / trialDelayMs(part));
    if (round < 1) return false;
    const key = `${part.partId} ${part.lastCrashAtMs} ${round}`;
    if (sentTrials.has(key) || !options.isTrialGateway(key)) return false;
    sentTrials.set(key, true);
    return true;
  };
  const updateQuarantined = () => {
    const current = evidence.harmfulParts();
    const ids = new Set(current.map(({partId}) => partId));
    for (const part of current) {
      if (!quarantined.has(part.partId)) options.onQuarantined(part);
    }
    for (const partId of quarantined) {
      if (!ids.has(partId)) options.onReleased(partId);
    }
    quarantined = ids;
  };
  return {
    check(parts) {
      if (quarantined.size === 0) return undefined;
      for (const {id} of toSharedParts(parts)) {
        const part = evidence.harmfulPart(id);
        if (!part) continue;
        const sinceCrashMs = nowMs() - part.lastCrashAtMs;
        if (tryStartTrial(part, sinceCrashMs)) continue;
        const leftMs = trialDelayMs(part) - sinceCrashMs;
        return {part, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, leftMs)};
      }
      return undefined;
    },
    isSuspected: parts =>
      toSharedParts(parts).some(
        ({id}) =>
          evidence.answeredAtMs(id) === undefined &&
          !answeredAtMs.has(id) &&
          evidence.isUnderSuspicion(id),
      ),
    recordAnswer(parts) {
      const atMs = nowMs();
      for (const {id} of toSharedParts(parts)) {
        answeredAtMs.set(id, atMs);
        if (evidence.isUnderSuspicion(id)) reportAnswer(id, atMs);
      }
    },
    record(item, source) {
      if (!evidence.merge(item)) return;
      if (source === 'own') onItem(item);
      if (item.kind !== 'crash') {
        updateQuarantined();
        return;
      }
      hasNewCrashes = true;
      countFurtherCrash(item);
      for (const {id} of item.parts) {
        const atMs = answeredAtMs.get(id);
        if (atMs !== undefined) reportAnswer(id, atMs);
      }
    },
    evaluate() {
      const now = nowMs();
      evidence.prune(now);
      if (hasNewCrashes) {
        const crashes = evidence.unexplainedCrashes();
        const settled = crashes.filter(
          ({atMs}) => Math.abs(now - atMs) >= SETTLE_MS,
        );
        hasNewCrashes = settled.length < crashes.length;
        const {answeredAtMs: lastAnswerAtMs} = evidence;
        findHarmfulParts({
          crashes: settled,
          answeredAtMs: lastAnswerAtMs,
        }).forEach(share);
      }
      updateQuarantined();
    },
    harmfulParts: evidence.harmfulParts,
    items: evidence.items,
  };
}
