import type {Clock} from '@sardinestile/types';

/** Processes that compete for a duty from the start. */
const FIRST_CANDIDATES = 3;

/** What a process knows of another one that could have the duty. */
export interface DutyPeer {
  instance: string;
  /** Whether it is about to end. */
  isStopping: boolean;
  /** Whether it saw the duty held lately, by itself or another. */
  seesDutyHeld: boolean;
}

/** What a candidacy depends on. */
export interface DutyCandidacyOptions {
  instance: string;
  clock: Clock;
  /** Time for which the duty is held without renewal. */
  leaseMs: number;
  /** The other processes that were heard lately. */
  peers: () => readonly DutyPeer[];
  isStopping: () => boolean;
}

/** Decides whether a process competes for a duty. */
export interface DutyCandidacy {
  /** `isHeld` tells whether this process saw the duty held lately. */
  isCandidate(isHeld: boolean): boolean;
}

/**
 * Makes a candidacy. The first processes by name compete always; the next ones
 * join for each term in which nobody was seen to hold the duty. So that reads of
 * the lease stay few, and a duty is not left to processes that are in trouble.
 */
export function createDutyCandidacy(
  options: DutyCandidacyOptions,
): DutyCandidacy {
  const {instance, clock, leaseMs} = options;
  let heldAtMs = clock.monotonicMs();
  return {
    isCandidate(isHeld) {
      const nowMs = clock.monotonicMs();
      const peers = options.peers().filter(peer => !peer.isStopping);
      if (isHeld || peers.some(peer => peer.seesDutyHeld)) {
        heldAtMs = nowMs;
      }
      if (options.isStopping()) return false;
      const rank = peers.filter(peer => peer.instance < instance).length;
      const termsUnheld = Math.floor((nowMs - heldAtMs) / leaseMs);
      return rank < FIRST_CANDIDATES * (1 + termsUnheld);
    },
  };
}
