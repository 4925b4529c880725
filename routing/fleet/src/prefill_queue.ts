/** Longest time that a request is believed to wait for its first event, in milliseconds. */
const MAX_PENDING_MS = 8_000;

interface PendingPrefill {
  workMs: number;
  urgency: number;
  placedAtMs: number;
}

/** Prompts that one engine is believed to be reading or to have queued. */
export interface PrefillQueue {
  add(requestId: string, workMs: number, urgency: number, nowMs: number): void;
  /** Notes that a prompt was read whole, or that its request ended. */
  remove(requestId: string, nowMs: number): boolean;
  /** Work ahead of a new prompt of this urgency. */
  waitMs(urgency: number, nowMs: number): number;
  /** Work of all prompts. */
  totalMs(nowMs: number): number;
  readonly length: number;
}

/** Makes an empty queue. Engines read prompts in order of urgency, then of arrival. */
export function createPrefillQueue(): PrefillQueue {
  const pending = new Map<string, PendingPrefill>();
  /** When the prompt at the head began to be read. */
  let headSinceMs = 0;

  const dropStale = (nowMs: number) => {
    for (const [id, {placedAtMs}] of pending) {
      if (nowMs - placedAtMs < MAX_PENDING_MS) break;
      pending.delete(id);
      headSinceMs = nowMs;
    }
  };
  const sum = (maxUrgency: number, nowMs: number) => {
    dropStale(nowMs);
    let totalMs = 0;
    let headMs = 0;
    for (const {workMs, urgency} of pending.values()) {
      if (headMs === 0) headMs = workMs;
      if (urgency <= maxUrgency) totalMs += workMs;
    }
    const readMs = Math.min(headMs, Math.max(0, nowMs - headSinceMs));
    return Math.max(0, totalMs - readMs);
  };
  return {
    add(requestId, workMs, urgency, nowMs) {
      if (pending.size === 0) headSinceMs = nowMs;
      pending.set(requestId, {workMs, urgency, placedAtMs: nowMs});
    },
    remove(requestId, nowMs) {
      const wasPending = pending.delete(requestId);
      if (wasPending) headSinceMs = nowMs;
      return wasPending;
    },
    waitMs: sum,
    totalMs: nowMs => sum(Infinity, nowMs),
    get length() {
      return pending.size;
    },
  };
}
