/** Share of the wanted latency that a request may wait even if it cannot be on time any more. */
const MIN_WAIT_SHARE = 0.35;

/** Part of the wanted latency that predictions may be wrong by. */
const PREDICTION_SLACK = 0.1;

/** Part of its time that a refused caller stays away, so that the burst is over. */
const LATE_RETURN_SHARE = 0.2;

/** What is expected of a request at the best upstream. */
export interface AdmissionRequest {
  /** Time until the upstream begins with it. */
  waitMs: number;
  /** Time from then to the answer, or to the first event of a stream. */
  workMs: number;
  /** The same for a usual request of its route. */
  usualWorkMs: number;
  /** Time to the answer, or to the first event, that the caller wants. */
  targetLatencyMs: number;
  /** Time after which the caller has left or the answer is due. */
  timeLeftMs: number;
}

/** Whether a request is sent now. */
export type AdmissionDecision =
  | {kind: 'admit'}
  /** The caller may return when what waits now is done. */
  | {kind: 'refuse'; retryAfterMs: number};

/**
 * Answers bursts beyond what the upstreams can do. A queue that makes every
 * request late serves nobody in time, whereas a queue that is kept shorter than
 * the wanted latency serves as many, and in time. A request is refused at once.
 * A large one may wait as long as a usual one, so that large ones are served, too.
 */
export function decideAdmission(request: AdmissionRequest): AdmissionDecision {
  const {waitMs, workMs, targetLatencyMs, timeLeftMs} = request;
  const countedWorkMs = Math.min(workMs, request.usualWorkMs);
  const onTimeWaitMs = (1 + PREDICTION_SLACK) * targetLatencyMs - countedWorkMs;
  const allowedMs = Math.max(MIN_WAIT_SHARE * targetLatencyMs, onTimeWaitMs);
  const isInTime = waitMs + workMs < timeLeftMs;
  if (waitMs <= allowedMs && isInTime) return {kind: 'admit'};
  // The queue gets shorter no faster than the caller's time to be on time, so
  // that a return within it would only meet the same queue.
  const retryAfterMs = Math.max(
    waitMs - allowedMs,
    LATE_RETURN_SHARE * timeLeftMs,
  );
  return {kind: 'refuse', retryAfterMs: Math.round(retryAfterMs)};
}
