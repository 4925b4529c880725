/**
 * Age at which a prompt counts as prefilled even if no first event was
 * recorded.
 */
const MAX_PENDING_MS = 8_000;

interface PendingPrefill {
  prefillMs: number;
  urgency: number;
  placedAtMs: number;
}

/**
 * Estimated queue of prompts that one engine prefills or has yet to prefill.
 */
export interface PrefillQueue {
  add(
    requestId: string,
    prefillMs: number,
    urgency: number,
    nowMs: number,
  ): void;
  /**
   * Removes a prompt whose prefill is complete or whose request ended. Returns
   * whether it was in the queue.
   */
  remove(requestId: string, nowMs: number): boolean;
  /**
   * Returns the remaining prefill time of the prompts ahead of a new one of
   * this urgency.
   */
  waitMs(urgency: number, nowMs: number): number;
  /** Returns the remaining prefill time of all prompts. */
  totalMs(nowMs: number): number;
  readonly length: number;
}

/**
 * Creates an empty queue. It assumes that the engine prefills prompts in order
 * of urgency, then of arrival.
 */
export function createPrefillQueue(): PrefillQueue {
  const pending = new Map<string, PendingPrefill>();
  /** Time at which the prefill of the prompt at the head began. */
  let headStartedAtMs = 0;

  const dropStale = (nowMs: number) => {
    for (const [id, {placedAtMs}] of pending) {
      if (nowMs - placedAtMs < MAX_PENDING_MS) break;
      pending.delete(id);
      headStartedAtMs = nowMs;
    }
  };
  const remainingPrefillMs = (maxUrgencyRank: number, nowMs: number) => {
    dropStale(nowMs);
    let totalMs = 0;
    let headMs = 0;
    for (const {prefillMs, urgency} of pending.values()) {
      if (headMs === 0) headMs = prefillMs;
      if (urgency <= maxUrgencyRank) totalMs += prefillMs;
    }
    const headDoneMs = Math.min(headMs, Math.max(0, nowMs - headStartedAtMs));
    return Math.max(0, totalMs - headDoneMs);
  };
  return {
    add(requestId, prefillMs, urgency, nowMs) {
      if (pending.size === 0) headStartedAtMs = nowMs;
      pending.set(requestId, {prefillMs, urgency, placedAtMs: nowMs});
    },
    remove(requestId, nowMs) {
      const wasPending = pending.delete(requestId);
      if (wasPending) headStartedAtMs = nowMs;
      return wasPending;
    },
    waitMs: remainingPrefillMs,
    totalMs: nowMs => remainingPrefillMs(Infinity, nowMs),
    get length() {
      return pending.size;
    },
  };
}
