import type {RefusalCode} from '@sardinestile/errors';
import type {RunOutcome} from '@sardinestile/types';
import {releaseRequest, type AdmittedRequest} from './admit_request.js';
import type {EntryContext} from './entry_context.js';
import type {HeaderPair} from './forwarded_headers.js';
import {
  claimIdempotencyKey,
  MAX_STORED_BODY_BYTES,
  type IdempotencyClaim,
} from '@sardinestile/idempotency';
import {createPlainWriterFactory, type ResponseTap} from './plain_writer.js';
import {refusalResponse} from './refusal_response.js';
import {serveRequest, type ServeOutcome} from './serve_request.js';

/**
 * Retry delay if the first call with the key is still in progress or the key
 * cannot be claimed in the store.
 */
const IDEMPOTENCY_RETRY_AFTER_MS = 2_000;

/**
 * Refusals of calls whose idempotency key could not be claimed. The outcome
 * says whether the call ran.
 */
const CLAIM_REFUSALS: Readonly<
  Record<
    'inProgress' | 'conflict' | 'unavailable',
    {code: RefusalCode; outcome: RunOutcome; retryAfterMs?: number}
  >
> = {
  inProgress: {
    code: 'idempotency_in_progress',
    outcome: 'unknown_outcome',
    retryAfterMs: IDEMPOTENCY_RETRY_AFTER_MS,
  },
  conflict: {code: 'idempotency_conflict', outcome: 'not_run'},
  unavailable: {
    code: 'store_unavailable',
    outcome: 'not_run',
    retryAfterMs: IDEMPOTENCY_RETRY_AFTER_MS,
  },
};

/**
 * Serves a non-idempotent call at most once for its idempotency key. A later call
 * with the same key gets the stored response of the first.
 */
export async function serveOnce(
  context: EntryContext,
  admitted: AdmittedRequest,
  http: Request,
  idempotencyKey: string,
): Promise<Response> {
  const {requestId, organisation, body} = admitted;
  const url = new URL(http.url);
  const outcome = await claimIdempotencyKey(context.table, {
    organisation,
    idempotencyKey,
    method: http.method,
    path: url.pathname + url.search,
    body,
  });
  if (outcome.kind === 'claimed') {
    return serveClaimed(context, admitted, http, outcome.claim);
  }
  releaseRequest(context, admitted);
  if (outcome.kind !== 'answered') {
    return refusalResponse({requestId, ...CLAIM_REFUSALS[outcome.kind]});
  }
  const {status, headers, body: answer} = outcome.answer;
  const pairs = headers.map(({name, value}): [string, string] => [name, value]);
  return new Response(Buffer.from(answer), {status, headers: pairs});
}

function serveClaimed(
  context: EntryContext,
  admitted: AdmittedRequest,
  http: Request,
  claim: IdempotencyClaim,
): Promise<Response> {
  let parts: Uint8Array[] = [];
  let answerBytes = 0;
  let headers: HeaderPair[] = [];
  const tap: ResponseTap = {
    onHead: (_status, head) => {
      headers = head;
    },
    onData(data) {
      answerBytes += data.length;
      if (answerBytes <= MAX_STORED_BODY_BYTES) parts.push(data);
      else parts = [];
    },
  };
  const onEnd = ({status, failure}: ServeOutcome) => {
    if (!failure && answerBytes <= MAX_STORED_BODY_BYTES) {
      const body = Buffer.concat(parts);
      void claim.complete({status, headers, body});
    } else if (failure?.outcome === 'not_run') {
      void claim.release();
    }
  };
  const createWriter = createPlainWriterFactory(admitted.requestId, tap);
  return serveRequest(context, admitted, http, createWriter, onEnd);
}
