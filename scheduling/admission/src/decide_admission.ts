import type {PredictionError} from '@sardinestile/prediction';

/** Where the request's organisation stands against its fair share. */
export interface AdmissionShare {
  /** Part of the organisation's requests of this urgency that its share covers, 0 to 1. */
  coveredPart: number;
  /** Time that the upstream needs for all its work, less urgent requests and retries included. */
  backlogMs: number;
  /** Random number in [0, 1): chooses the requests that are covered. */
  draw: number;
}

/** Predicted times of a request at the best upstream, and the time that its caller has. */
export interface AdmissionRequest {
  /** Time until the upstream starts the request. */
  waitMs: number;
  /** Time from the start to the response, or to the first event of a stream. */
  serviceTimeMs: number;
  /** `serviceTimeMs` at an upstream that is not slowed down. */
  usualServiceTimeMs: number;
  /** `serviceTimeMs` that 95 in 100 requests of the same route stay below. */
  routeServiceTimeMs: number;
  /** Measured error of such predictions. */
  error: PredictionError;
  /** Time from the first event of a stream to its end; 0 for other responses. */
  restMs: number;
  /** Time until the response, or the first event, comes too late for the caller. */
  timeLeftMs: number;
  /** `timeLeftMs` of a new request of the caller. */
  renewedTimeLeftMs: number;
  /** Time until the complete response comes too late. */
  completeTimeLeftMs: number;
  /** Absent if organisations do not share capacity. */
  share?: AdmissionShare;
}

/** Refusal of a request that has not run. */
export interface AdmissionRefusal {
  kind: 'refuse';
  /**
   * Time until the work that waits is expected to be short enough for a new request of
   * the caller. Work that arrives meanwhile is not contained.
   */
  roomAfterMs: number;
  /** Longest wait with which the request would have been admitted. */
  allowedWaitMs: number;
}

/** Result of decideAdmission. */
export type AdmissionDecision = {kind: 'admit'} | AdmissionRefusal;

/**
 * Decides whether a request is sent now or refused at once.
 *
 * A request is sent if it will probably be answered while its caller is there.
 * Otherwise its work would be in vain and make all requests behind it wait.
 * Requests of a route may all wait for as long as its large ones; otherwise the
 * small ones would keep the queue too long for a large request to be admitted.
 *
 * An organisation beyond its fair share may have one request wait at an upstream,
 * so that refusals begin with it and others find a short queue.
 */
export function decideAdmission(request: AdmissionRequest): AdmissionDecision {
  const {waitMs, serviceTimeMs, routeServiceTimeMs, share, error} = request;
  const {timeLeftMs} = request;
  const countedServiceMs = error.expectedMs(
    Math.max(serviceTimeMs, routeServiceTimeMs),
  );
  const allowedWaitOf = (firstMs: number) =>
    Math.max(
      0,
      Math.min(firstMs, request.completeTimeLeftMs - request.restMs) -
        countedServiceMs,
    );
  const fullWaitMs = allowedWaitOf(timeLeftMs);
  const isCovered = !share || share.draw < share.coveredPart;
  const overShare = share ? 1 - share.coveredPart : 0;
  const beyondShareWaitMs = Math.min(fullWaitMs, routeServiceTimeMs);
  const allowedWaitMs = isCovered
    ? fullWaitMs - overShare * (fullWaitMs - beyondShareWaitMs)
    : 0;
  // An urgent request passes the queue of others, but it lengthens their wait.
  const backlogMs = Math.max(waitMs, share?.backlogMs ?? 0);
  const countedWaitMs = waitMs + overShare * (backlogMs - waitMs);
  const waitBoundMs = error.boundMs(countedWaitMs);
  // Without a wait there is no better time, and only responses show whether a slow
  // upstream has recovered.
  const isAnsweredInTime =
    waitMs > 0
      ? error.expectedMs(waitMs + serviceTimeMs) <= timeLeftMs
      : request.usualServiceTimeMs <= timeLeftMs;
  if (isCovered && waitBoundMs <= allowedWaitMs && isAnsweredInTime) {
    return {kind: 'admit'};
  }
  const renewedWaitMs = allowedWaitOf(request.renewedTimeLeftMs);
  return {
    kind: 'refuse',
    roomAfterMs: Math.max(0, waitBoundMs - renewedWaitMs),
    allowedWaitMs: Math.round(allowedWaitMs),
  };
}
