import {isRefusalCode, REFUSALS, type RefusalCode} from '@sardinestile/errors';
import type {RunOutcome} from '@sardinestile/types';

/** The error that a caller gets in place of an upstream's response. */
export interface Refusal {
  code: RefusalCode;
  outcome: RunOutcome;
  detail?: string;
  retryAfterMs?: number;
  requestId: string;
}

/** Returns the JSON body of a refusal in the OpenAI error format. */
export function refusalBody(refusal: Refusal): object {
  const spec = REFUSALS[refusal.code];
  return {
    error: {
      message: refusal.detail
        ? `${spec.message} (${refusal.detail})`
        : spec.message,
      type: spec.type,
      code: refusal.code,
      param: null,
      outcome: refusal.outcome,
      request_id: refusal.requestId,
    },
  };
}

/** Creates the HTTP response of a refusal. */
export function refusalResponse(refusal: Refusal): Response {
  const headers = new Headers({'x-request-id': refusal.requestId});
  if (refusal.retryAfterMs !== undefined) {
    const retryAfterS = Math.max(1, Math.ceil(refusal.retryAfterMs / 1000));
    headers.set('retry-after', String(retryAfterS));
  }
  const {status} = REFUSALS[refusal.code];
  return Response.json(refusalBody(refusal), {status, headers});
}

/**
 * Converts an agent's code to a refusal code; an unknown one becomes
 * `upstream_failed`.
 */
export function toRefusalCode(code: string): RefusalCode {
  return isRefusalCode(code) ? code : 'upstream_failed';
}
