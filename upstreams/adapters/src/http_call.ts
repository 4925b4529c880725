import {
  withPacedResponses,
  withReliableEnds,
} from '@sardinestile/upstream_connections';
import {Agent, buildConnector, request, type Dispatcher} from 'undici';
import {UpstreamError, type UpstreamHeader} from './upstream_adapter.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Time after which an idle connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** Error codes that show that no byte of the request was sent. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Timeouts for the response of an upstream. */
export interface UpstreamTimeouts {
  /** Maximum time until the response headers arrive, in milliseconds. */
  headersTimeoutMs: number;
  /** Maximum time between two chunks of the body, in milliseconds. */
  bodyTimeoutMs: number;
}

/** Creates the connection pool for one upstream. */
export function createUpstreamDispatcher(timeouts: UpstreamTimeouts): Agent {
  return new Agent({
    connect: withPacedResponses(
      withReliableEnds(
        buildConnector({timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true}),
      ),
    ),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: timeouts.headersTimeoutMs,
    bodyTimeout: timeouts.bodyTimeoutMs,
    pipelining: 1,
  });
}

/** Options for `sendOnce`. */
export interface HttpCall {
  url: string;
  method: string;
  headers: readonly UpstreamHeader[];
  body: Uint8Array;
  dispatcher: Agent;
  signal: AbortSignal;
}

/** Sends a request without retries; throws `UpstreamError` if no response arrives. */
export async function sendOnce(
  call: HttpCall,
): Promise<Dispatcher.ResponseData> {
  try {
    return await request(call.url, {
      method: call.method as Dispatcher.HttpMethod,
      headers: call.headers.flatMap(({name, value}) => [name, value]),
      body: call.body.length > 0 ? call.body : null,
      dispatcher: call.dispatcher,
      signal: call.signal,
    });
  } catch (error) {
    const code = errorCodeOf(error);
    const outcome = NOT_SENT_ERROR_CODES.has(code)
      ? 'not_run'
      : 'unknown_outcome';
    throw new UpstreamError(outcome, 'upstream_failed', code);
  }
}

/** Returns the code of an error, or its name if it has no code. */
export function errorCodeOf(error: unknown): string {
  const {code, name} = error as {code?: string; name?: string};
  return typeof code === 'string' ? code : (name ?? 'UNKNOWN');
}
