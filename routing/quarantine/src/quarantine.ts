import {LRUCache} from 'lru-cache';
import {createCrashEvidence, HARMFUL_LIFETIME_MS} from './crash_evidence.js';
import type {EvidenceItem, HarmfulPart} from './evidence_item.js';
import {findHarmfulParts} from './find_harmful_parts.js';
import {
  isFingerprint,
  sharedPromptParts,
  toSharedParts,
  type RequestProfile,
} from './request_profile.js';
import {trialDelayMs} from './trial_delay.js';

/** Prompt parts and requests whose latest answers a gateway remembers. */
const MAX_ANSWERED_PARTS = 20_000;
const MAX_ANSWERED_REQUESTS = 5_000;

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
 * Crashes under one request from which it is not sent to another upstream by the
 * gateway itself. Most requests that are lost in one crash are harmless.
 */
const CRASHES_OF_SUSPECTED_REQUEST = 2;

/** Shortest time after which a caller with a harmful part is told to return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 30_000;

/** Time for which crashes are repeated to the peers, in milliseconds; the store keeps them for longer. */
const REPEAT_CRASHES_FOR_MS = 10_000;

/** Options for `createQuarantine`. */
export interface QuarantineOptions {
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

/** Keeps harmful requests, and requests with harmful prompt parts, from the upstreams. */
export interface Quarantine {
  /**
   * Returns why a request must not be sent; undefined if it may. From time to
   * time one request of the fleet is let through as a trial.
   */
  check(profile: RequestProfile): QuarantineVerdict | undefined;
  /**
   * Whether upstreams have crashed under the request or one of its prompt parts
   * without an answer since, so that no other one should be risked for it.
   */
  isSuspected(profile: RequestProfile): boolean;
  /** Records that an upstream went on after it had begun to answer a request. */
  recordAnswer(profile: RequestProfile): void;
  /**
   * Records an item that this gateway observed, or received from a peer or the
   * store. Returns whether it was new.
   */
  record(item: EvidenceItem, source: 'own' | 'other'): boolean;
  /** Decides on the crashes that have settled; called at short intervals. */
  evaluate(): void;
  harmfulParts(): readonly HarmfulPart[];
  /** Returns the evidence to store. */
  items(): readonly EvidenceItem[];
  /** Returns the evidence to repeat to peers, which may not have received it. */
  itemsToRepeat(): readonly EvidenceItem[];
}

/** Creates a quarantine without evidence. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const {nowMs, onItem} = options;
  const evidence = createCrashEvidence();
  const answeredParts = new LRUCache<string, number>({max: MAX_ANSWERED_PARTS});
  const answeredRequests = new LRUCache<string, number>({
    max: MAX_ANSWERED_REQUESTS,
  });
  /** Parts that are harmful as of the last evaluation. */
  let quarantined = new Set<string>();
  let hasHarmfulRequests = false;
  let hasNewCrashes = false;
  /** Trials that this gateway has sent. */
  const sentTrials = new LRUCache<string, true>({max: MAX_ANSWERED_PARTS});

  const ownAnswerAtMs = (partId: string) =>
    (isFingerprint(partId) ? answeredRequests : answeredParts).get(partId);
  const share = (item: EvidenceItem) => {
    if (evidence.merge(item)) onItem(item);
  };
  const reportAnswer = (partId: string, atMs: number) => {
    const knownMs = evidence.answeredAtMs(partId) ?? -Infinity;
    if (atMs - knownMs < ANSWER_REPORT_INTERVAL_MS) return;
    share({kind: 'answer', partId, atMs});
  };
  const isUnderSuspicion = (partId: string) =>
    evidence.harmfulPart(partId) !== undefined ||
    evidence.crashesSinceAnswer(partId) > 0;
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
  const delayOfTrialMs = ({partId, crashes}: HarmfulPart) =>
    trialDelayMs({
      partId,
      // It may have crashed several upstreams at the same moment.
      crashes: Math.max(crashes, evidence.crashCount(partId)),
      wasAnswered: evidence.answeredAtMs(partId) !== undefined,
    });
  const tryStartTrial = (part: HarmfulPart, sinceCrashMs: number): boolean => {
    const round = Math.floor(sinceCrashMs / delayOfTrialMs(part));
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
    hasHarmfulRequests = [...ids].some(isFingerprint);
  };
  return {
    check(profile) {
      if (quarantined.size === 0) return undefined;
      const parts = hasHarmfulRequests
        ? toSharedParts(profile)
        : sharedPromptParts(profile);
      for (const {id} of parts) {
        const part = evidence.harmfulPart(id);
        if (!part) continue;
        const sinceCrashMs = nowMs() - part.lastCrashAtMs;
        if (tryStartTrial(part, sinceCrashMs)) continue;
        const delayMs = Math.min(delayOfTrialMs(part), HARMFUL_LIFETIME_MS);
        const leftMs = delayMs - sinceCrashMs;
        return {part, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, leftMs)};
      }
      return undefined;
    },
    isSuspected(profile) {
      const hasSuspectedPart = sharedPromptParts(profile).some(
        ({id}) =>
          evidence.answeredAtMs(id) === undefined &&
          !answeredParts.has(id) &&
          isUnderSuspicion(id),
      );
      if (hasSuspectedPart || !evidence.namesRequests()) {
        return hasSuspectedPart;
      }
      const crashes = evidence.crashesSinceAnswer(profile.fingerprint());
      return crashes >= CRASHES_OF_SUSPECTED_REQUEST;
    },
    recordAnswer(profile) {
      const atMs = nowMs();
      for (const {id} of sharedPromptParts(profile)) {
        answeredParts.set(id, atMs);
        if (isUnderSuspicion(id)) reportAnswer(id, atMs);
      }
      if (!profile.isFingerprintCheap && !evidence.namesRequests()) return;
      const fingerprint = profile.fingerprint();
      answeredRequests.set(fingerprint, atMs);
      if (isUnderSuspicion(fingerprint)) reportAnswer(fingerprint, atMs);
    },
    record(item, source) {
      if (!evidence.merge(item)) return false;
      if (source === 'own') onItem(item);
      if (item.kind !== 'crash') {
        updateQuarantined();
        return true;
      }
      hasNewCrashes = true;
      countFurtherCrash(item);
      for (const {id} of item.parts) {
        const atMs = ownAnswerAtMs(id);
        if (atMs !== undefined) reportAnswer(id, atMs);
      }
      return true;
    },
    evaluate() {
      const now = nowMs();
      evidence.prune(now);
      if (hasNewCrashes) {
        const crashes = evidence.openCrashes();
        const settled = crashes.filter(
          ({atMs}) => Math.abs(now - atMs) >= SETTLE_MS,
        );
        hasNewCrashes = settled.length < crashes.length;
        const {answeredAtMs} = evidence;
        findHarmfulParts({crashes: settled, answeredAtMs}).forEach(share);
      }
      updateQuarantined();
    },
    harmfulParts: evidence.harmfulParts,
    items: evidence.items,
    itemsToRepeat: () =>
      evidence
        .items()
        .filter(
          item =>
            item.kind !== 'crash' ||
            nowMs() - item.atMs < REPEAT_CRASHES_FOR_MS,
        ),
  };
}
