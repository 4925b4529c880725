/** Part of the target latency that any request may wait, even if it will miss the target. */
const MIN_ALLOWED_WAIT_SHARE = 0.35;

/** Part of the target latency by which a prediction may exceed the target. */
const PREDICTION_ERROR_SHARE = 0.1;

/** Shortest time to retry, as part of the time left, so that the burst is over by then. */
const MIN_RETRY_AFTER_SHARE = 0.2;

/** Longest time to retry for an organisation beyond its share, as part of the time left. */
const MAX_RETRY_AFTER_SHARE = 0.9;

/**
 * Part of the allowed wait up to which an organisation beyond its share may fill the
 * queue of an upstream. The rest is left to requests within the share.
 */
const OVER_SHARE_WAIT = 0.1;

/** Greatest factor by which the excess lengthens the time to retry. */
const MAX_RETRY_FACTOR = 4;

/** Part of the time to retry over which retries are spread. */
const RETRY_SPREAD_SHARE = 0.5;

/** Where the request's organisation stands against its fair share. */
export interface AdmissionShare {
  /** Demand of the organisation divided by its fair share. */
  excess: number;
  /** Part of the organisation's requests of this urgency that its share covers, 0 to 1. */
  coveredPart: number;
  /** Time that the upstream needs for all its work, less urgent requests and retries included. */
  backlogMs: number;
  /** Random number in [0, 1): chooses the requests that are covered and spreads retries. */
  draw: number;
}

/** Predicted times of a request at the best upstream, and its limits. */
export interface AdmissionRequest {
  /** Time until the upstream starts the request. */
  waitMs: number;
  /** Time from the start to the response, or to the first event of a stream. */
  serviceTimeMs: number;
  /** `serviceTimeMs` of a typical request of the same route. */
  typicalServiceTimeMs: number;
  /** Target for the time to the response, or to the first event of a stream. */
  targetLatencyMs: number;
  /** Time until the caller times out or the response is due. */
  timeLeftMs: number;
  /** Absent if organisations do not share capacity. */
  share?: AdmissionShare;
}

/** Refusal of a request that has not run. */
export interface AdmissionRefusal {
  kind: 'refuse';
  /** The caller may retry after this time, when the queue is expected to be shorter. */
  retryAfterMs: number;
  /** Longest wait with which the request would have been admitted. */
  allowedWaitMs: number;
}

/** Result of decideAdmission. */
export type AdmissionDecision = {kind: 'admit'} | AdmissionRefusal;

/**
 * Decides whether a request is sent now or refused at once.
 *
 * Refusals keep the queue shorter than the target latency during bursts beyond
 * the capacity. A longer queue would make every request late without serving
 * more of them. A request with more work than a typical one may wait as long as
 * a typical one; otherwise large requests would never be admitted.
 *
 * An organisation beyond its fair share fills the queue only to a part of the
 * allowed wait, so that refusals begin with it and others find a short queue.
 */
export function decideAdmission(request: AdmissionRequest): AdmissionDecision {
  const {waitMs, serviceTimeMs, targetLatencyMs, timeLeftMs, share} = request;
  const countedWorkMs = Math.min(serviceTimeMs, request.typicalServiceTimeMs);
  const onTimeWaitMs =
    (1 + PREDICTION_ERROR_SHARE) * targetLatencyMs - countedWorkMs;
  const fullWaitMs = Math.max(
    MIN_ALLOWED_WAIT_SHARE * targetLatencyMs,
    onTimeWaitMs,
  );
  const isCovered = !share || share.draw < share.coveredPart;
  const overShare = share ? 1 - share.coveredPart : 0;
  const allowedWaitMs = isCovered
    ? fullWaitMs * (1 - overShare * (1 - OVER_SHARE_WAIT))
    : 0;
  // An urgent request passes the queue of others, but it lengthens their wait.
  const backlogMs = Math.max(waitMs, share?.backlogMs ?? 0);
  const countedWaitMs = waitMs + overShare * (backlogMs - waitMs);
  const isBeforeDeadline = waitMs + serviceTimeMs < timeLeftMs;
  if (isCovered && countedWaitMs <= allowedWaitMs && isBeforeDeadline) {
    return {kind: 'admit'};
  }
  // The queue shrinks no faster than the caller's remaining time, so an earlier
  // retry would find the same queue.
  const retryAfterMs = Math.max(
    countedWaitMs - allowedWaitMs,
    MIN_RETRY_AFTER_SHARE * timeLeftMs,
  );
  return {
    kind: 'refuse',
    retryAfterMs: Math.round(spreadRetry(retryAfterMs, timeLeftMs, share)),
    allowedWaitMs: Math.round(allowedWaitMs),
  };
}

/** Lengthens the time to retry with the excess and spreads it, so that retries form no wave. */
function spreadRetry(
  retryAfterMs: number,
  timeLeftMs: number,
  share: AdmissionShare | undefined,
): number {
  if (!share) return retryAfterMs;
  const factor = clamp(share.excess, 1, MAX_RETRY_FACTOR);
  const spreadFactor = 1 + RETRY_SPREAD_SHARE * share.draw;
  const longestMs = Math.max(retryAfterMs, MAX_RETRY_AFTER_SHARE * timeLeftMs);
  // Retry times that are all cut to the same limit would form a wave there.
  const latestMs = (longestMs * spreadFactor) / (1 + RETRY_SPREAD_SHARE);
  return Math.min(latestMs, retryAfterMs * factor * spreadFactor);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
