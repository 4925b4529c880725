import type {Clock} from '@sardinestile/types';

/**
 * Processes that compete for a duty at first; as many more join for each lease
 * term without a holder.
 */
const CANDIDATES_PER_TERM = 3;

/** Last known state of another process that may hold the duty. */
export interface DutyPeer {
  instance: string;
  /** Whether the process is shutting down. */
  isStopping: boolean;
  /**
   * Whether the process recently saw the lease held, by itself or by another.
   */
  hasSeenDutyHeld: boolean;
}

/** Options for createDutyCandidacy. */
export interface DutyCandidacyOptions {
  instance: string;
  clock: Clock;
  /** Duration of the lease without renewal. */
  leaseMs: number;
  /** Returns the other processes that were heard from recently. */
  peers: () => readonly DutyPeer[];
  isStopping: () => boolean;
}

/** Decides whether a process competes for a duty. */
export interface DutyCandidacy {
  /**
   * `isHeld` says whether this process recently saw the lease held, by itself
   * or by another.
   */
  isAllowedToClaim(isHeld: boolean): boolean;
}

/**
 * Creates a candidacy. The first processes by name always compete, which limits
 * the reads of the lease. If no holder is seen for a lease term, the next
 * processes by name join, so that a duty is still performed when the first ones
 * are failing.
 */
export function createDutyCandidacy(
  options: DutyCandidacyOptions,
): DutyCandidacy {
  const {instance, clock, leaseMs} = options;
  let lastHeldAtMs = clock.monotonicMs();
  return {
    isAllowedToClaim(isHeld) {
      const nowMs = clock.monotonicMs();
      const peers = options.peers().filter(peer => !peer.isStopping);
      if (isHeld || peers.some(peer => peer.hasSeenDutyHeld)) {
        lastHeldAtMs = nowMs;
      }
      if (options.isStopping()) return false;
      const nameRank = peers.filter(peer => peer.instance < instance).length;
      const termsWithoutHolder = Math.floor((nowMs - lastHeldAtMs) / leaseMs);
      return nameRank < CANDIDATES_PER_TERM * (1 + termsWithoutHolder);
    },
  };
}
