/** Part of the target latency that any request may wait, even if it will miss the target. */
const MIN_ALLOWED_WAIT_SHARE = 0.35;

/** Part of the target latency by which a prediction may exceed the target. */
const PREDICTION_ERROR_SHARE = 0.1;

/** Shortest time to retry, as part of the time left, so that the burst is over by then. */
const MIN_RETRY_AFTER_SHARE = 0.2;

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
}

/** Result of decideAdmission. */
export type AdmissionDecision =
  | {kind: 'admit'}
  /** The caller may retry after this time, when the queue is expected to be shorter. */
  | {kind: 'refuse'; retryAfterMs: number};

/**
 * Decides whether a request is sent now or refused at once.
 *
 * Refusals keep the queue shorter than the target latency during bursts beyond
 * the capacity. A longer queue would make every request late without serving
 * more of them. A request with more work than a typical one may wait as long as
 * a typical one; otherwise large requests would never be admitted.
 */
export function decideAdmission(request: AdmissionRequest): AdmissionDecision {
  const {waitMs, serviceTimeMs, targetLatencyMs, timeLeftMs} = request;
  const countedWorkMs = Math.min(serviceTimeMs, request.typicalServiceTimeMs);
  const onTimeWaitMs =
    (1 + PREDICTION_ERROR_SHARE) * targetLatencyMs - countedWorkMs;
  const allowedWaitMs = Math.max(
    MIN_ALLOWED_WAIT_SHARE * targetLatencyMs,
    onTimeWaitMs,
  );
  const isBeforeDeadline = waitMs + serviceTimeMs < timeLeftMs;
  if (waitMs <= allowedWaitMs && isBeforeDeadline) return {kind: 'admit'};
  // The queue shrinks no faster than the caller's remaining time, so an earlier
  // retry would find the same queue.
  const retryAfterMs = Math.max(
    waitMs - allowedWaitMs,
    MIN_RETRY_AFTER_SHARE * timeLeftMs,
  );
  return {kind: 'refuse', retryAfterMs: Math.round(retryAfterMs)};
}
