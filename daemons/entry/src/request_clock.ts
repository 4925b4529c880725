import type {RequestClass} from '@sardinestile/service_text';

/**
 * Maximum wait for an offer of a request without a target, in milliseconds. Nothing is
 * promised to its caller, who may leave before.
 */
const DEFAULT_OFFER_TIMEOUT_MS = 60_000;

/**
 * Time after the targets in which the agent's own refusal may arrive before
 * the entry gives up.
 */
const OFFER_TIMEOUT_MARGIN_MS = 500;

/**
 * The time that a request has left until its targets, in milliseconds. It runs from the
 * arrival of the request, whatever number of attempts are made.
 */
export interface RequestClock {
  /**
   * Time left until the first token is due: 1 if it is over; undefined without a target
   * and once a part of the response was delivered.
   */
  firstTokenLeftMs(hasResponse: boolean): number | undefined;
  /** Time left until the whole response is due: 1 if it is over; undefined without a target. */
  answerLeftMs(): number | undefined;
  /** Time for which the entry waits until an upstream offers a slot. */
  offerTimeoutMs(hasResponse: boolean): number;
}

/** Creates the clock of a request that arrived at a time of `nowMs`. */
export function createRequestClock(
  {firstTokenMs, answerMs}: RequestClass['targets'],
  arrivedAtMs: number,
  nowMs: () => number,
): RequestClock {
  const leftMs = (targetMs: number | undefined) =>
    targetMs === undefined
      ? undefined
      : Math.max(1, targetMs - (nowMs() - arrivedAtMs));
  const clock: RequestClock = {
    firstTokenLeftMs: hasResponse =>
      hasResponse ? undefined : leftMs(firstTokenMs),
    answerLeftMs: () => leftMs(answerMs),
    offerTimeoutMs(hasResponse) {
      const targetLeftMs = Math.min(
        clock.firstTokenLeftMs(hasResponse) ?? Infinity,
        clock.answerLeftMs() ?? Infinity,
      );
      return targetLeftMs === Infinity
        ? DEFAULT_OFFER_TIMEOUT_MS
        : targetLeftMs + OFFER_TIMEOUT_MARGIN_MS;
    },
  };
  return clock;
}
