/** HTTP status, error type and message of a refusal code. */
export interface RefusalSpec {
  status: number;
  /** `type` field of the OpenAI error object. */
  type: string;
  message: string;
}

/** All refusal codes, with what the caller receives for each. */
export const REFUSALS = {
  invalid_json: {
    status: 400,
    type: 'invalid_request_error',
    message: 'The body is not valid JSON.',
  },
  invalid_request: {
    status: 400,
    type: 'invalid_request_error',
    message: 'The request is not valid.',
  },
  body_too_large: {
    status: 413,
    type: 'invalid_request_error',
    message: 'The body is over the size limit.',
  },
  missing_key: {
    status: 401,
    type: 'authentication_error',
    message: 'This route needs a bearer key.',
  },
  invalid_key: {
    status: 401,
    type: 'authentication_error',
    message: 'The key is unknown or was withdrawn.',
  },
  key_withdrawn: {
    status: 401,
    type: 'authentication_error',
    message: 'The key was withdrawn while the request ran.',
  },
  keys_stale: {
    status: 503,
    type: 'server_error',
    message: 'Withdrawals of keys cannot be learnt at present.',
  },
  unknown_route: {
    status: 404,
    type: 'invalid_request_error',
    message: 'No service has this route.',
  },
  unknown_model: {
    status: 404,
    type: 'invalid_request_error',
    message: 'No service has this model.',
  },
  idempotency_conflict: {
    status: 409,
    type: 'invalid_request_error',
    message: 'Another request used this idempotency key.',
  },
  idempotency_in_progress: {
    status: 409,
    type: 'conflict_error',
    message: 'The first request with this idempotency key has not ended.',
  },
  organisation_limit: {
    status: 429,
    type: 'rate_limit_error',
    message: 'The organisation has reached its limit.',
  },
  overloaded: {
    status: 429,
    type: 'overloaded_error',
    message: 'The request could not be served within its target.',
  },
  preempted: {
    status: 503,
    type: 'overloaded_error',
    message: 'The request gave way to a higher tier and could not resume.',
  },
  no_upstream: {
    status: 503,
    type: 'server_error',
    message: 'No upstream of this service can be reached.',
  },
  upstream_failed: {
    status: 502,
    type: 'server_error',
    message: 'The upstream failed.',
  },
  store_unavailable: {
    status: 503,
    type: 'server_error',
    message: 'The idempotency record cannot be written at present.',
  },
  not_ready: {
    status: 503,
    type: 'server_error',
    message: 'This instance has no configuration yet.',
  },
  memory_short: {
    status: 503,
    type: 'overloaded_error',
    message: 'This instance holds too much to take the request.',
  },
  shutting_down: {
    status: 503,
    type: 'server_error',
    message: 'This instance is leaving.',
  },
} as const satisfies Record<string, RefusalSpec>;

/** Stable code of a refusal, which callers receive in the response. */
export type RefusalCode = keyof typeof REFUSALS;

/** Returns whether a string is a refusal code. */
export function isRefusalCode(text: string): text is RefusalCode {
  return Object.hasOwn(REFUSALS, text);
}
