import type {Organisation} from '@sardinestile/service_text';

/** Size of the token bucket, in seconds of the organisation's rate. */
const BURST_S = 2;

/**
 * Retry delay for callers whose organisation is at its limit of running
 * requests: the shortest that `Retry-After` can say, as one may end at any time.
 */
const MAX_RUNNING_RETRY_AFTER_MS = 1_000;

interface OrganisationState {
  running: number;
  tokens: number;
  refilledAtMs: number;
}

/** Whether a request may start, and if not, when to retry. */
export type LimitDecision =
  {isAllowed: true} | {isAllowed: false; retryAfterMs: number};

/**
 * Enforces each organisation's limits of request rate and running requests at
 * one entry.
 */
export interface OrganisationLimits {
  /**
   * Counts a request as running if the limits allow it; each allowed request
   * needs one `release`.
   */
  acquire(
    organisation: Organisation,
    entryCount: number,
    nowMs: number,
  ): LimitDecision;
  /** Counts a request as ended. */
  release(organisation: string): void;
}

/**
 * Creates limits with no running requests. Each entry enforces an equal share of
 * a limit, so that all entries together enforce the whole. A share of running
 * requests is rounded up, so that it is at least one.
 */
export function createOrganisationLimits(): OrganisationLimits {
  const states = new Map<string, OrganisationState>();

  const refill = (
    state: OrganisationState,
    ratePerS: number,
    nowMs: number,
  ) => {
    const elapsedS = (nowMs - state.refilledAtMs) / 1000;
    const burst = Math.max(1, ratePerS * BURST_S);
    state.tokens = Math.min(burst, state.tokens + elapsedS * ratePerS);
    state.refilledAtMs = nowMs;
  };
  const stateOf = (name: string, nowMs: number) => {
    let state = states.get(name);
    if (!state) {
      state = {running: 0, tokens: Infinity, refilledAtMs: nowMs};
      states.set(name, state);
    }
    return state;
  };
  return {
    acquire(organisation, entryCount, nowMs) {
      const state = stateOf(organisation.name, nowMs);
      const {maxRunning, requestsPerSecond} = organisation;
      if (maxRunning !== undefined) {
        const entryShare = Math.max(1, Math.ceil(maxRunning / entryCount));
        if (state.running >= entryShare) {
          return {isAllowed: false, retryAfterMs: MAX_RUNNING_RETRY_AFTER_MS};
        }
      }
      if (requestsPerSecond !== undefined) {
        const ratePerS = requestsPerSecond / entryCount;
        refill(state, ratePerS, nowMs);
        if (state.tokens < 1) {
          const retryAfterMs = (1000 * (1 - state.tokens)) / ratePerS;
          return {isAllowed: false, retryAfterMs};
        }
        state.tokens--;
      }
      state.running++;
      return {isAllowed: true};
    },
    release(organisation) {
      const state = states.get(organisation);
      if (state) state.running--;
    },
  };
}
