import {isFingerprint} from './request_profile.js';

/** Time from the last crash to a trial, in milliseconds, while few crashes speak against a prompt part. */
const EARLY_PROMPT_PART_DELAY_MS = 30_000;

/** Crashes from which a prompt part counts as harmful beyond doubt. */
const CRASHES_BEYOND_DOUBT = 5;

/** The time from there on, in milliseconds; each further crash doubles it. */
const PROMPT_PART_DELAY_MS = 10 * 60_000;
const MAX_PROMPT_PART_DELAY_MS = 4 * 3_600_000;

/** Delays in milliseconds by the number of crashes: one for `fromCrashes`, one for the next, and so on. */
interface DelaySteps {
  fromCrashes: number;
  delaysMs: readonly number[];
}

/**
 * A request that was never answered is of use to its caller alone, and each trial may
 * cost an upstream: few trials are made for all the time that it comes again.
 */
const REQUEST_DELAYS: DelaySteps = {
  fromCrashes: 3,
  delaysMs: [2 * 60_000, 30 * 60_000, 4 * 3_600_000],
};

/** One that was answered before is probably harmless, and many callers may wait for it. */
const ANSWERED_REQUEST_DELAYS: DelaySteps = {
  fromCrashes: 5,
  delaysMs: [30_000, 10 * 60_000, 4 * 3_600_000],
};

/** What is known of a harmful part when a trial is considered. */
export interface TrialCandidate {
  partId: string;
  /** Upstreams that crashed under it. */
  crashes: number;
  /** Whether it was ever answered. */
  wasAnswered: boolean;
}

/**
 * Returns the time from the last crash of a harmful part until one request with it
 * is let through, in milliseconds; Infinity if there is no trial any more.
 */
export function trialDelayMs(candidate: TrialCandidate): number {
  const {partId, crashes, wasAnswered} = candidate;
  if (!isFingerprint(partId)) return promptPartDelayMs(crashes);
  const {fromCrashes, delaysMs} = wasAnswered
    ? ANSWERED_REQUEST_DELAYS
    : REQUEST_DELAYS;
  return delaysMs[Math.max(0, crashes - fromCrashes)] ?? Infinity;
}

function promptPartDelayMs(crashes: number): number {
  const furtherCrashes = crashes - CRASHES_BEYOND_DOUBT;
  if (furtherCrashes < 0) return EARLY_PROMPT_PART_DELAY_MS;
  return Math.min(
    MAX_PROMPT_PART_DELAY_MS,
    PROMPT_PART_DELAY_MS * 2 ** furtherCrashes,
  );
}
