import {SardinestileError, type ErrorCode} from '@sardinestile/errors';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';

/** Timeout of one call to the administration API. */
const ADMIN_CALL_TIMEOUT_MS = 10_000;

const errorResponseSchema = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    hint: z.string().optional(),
  }),
});

/** Address and key of the administration API. */
export interface AdminClientOptions {
  /** Base URL of an entry's ops server. */
  adminUrl: string;
  adminKey: string;
}

/** One call to the administration API. */
export interface AdminCall {
  /** GET if omitted. */
  method?: Dispatcher.HttpMethod;
  path: string;
  body?: string;
  /** Value of the If-Match header. */
  ifMatch?: string;
}

/** Successful response of the administration API. */
export interface AdminResponse {
  text: string;
  /** Empty if the response has no ETag header. */
  etag: string;
}

/**
 * Calls the administration API. Throws a `SardinestileError` with the API's
 * error code, or `PEER_UNAVAILABLE` if there is no valid response.
 */
export async function callAdmin(
  options: AdminClientOptions,
  call: AdminCall,
): Promise<AdminResponse> {
  const response = await sendRequest(options, call);
  const text = await response.body.text();
  if (response.statusCode >= 400) throw toApiError(response.statusCode, text);
  return {text, etag: String(response.headers.etag ?? '')};
}

async function sendRequest(options: AdminClientOptions, call: AdminCall) {
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.adminKey}`,
    'content-type': 'application/json',
  };
  if (call.ifMatch) headers['if-match'] = call.ifMatch;
  try {
    return await request(options.adminUrl + call.path, {
      method: call.method ?? 'GET',
      body: call.body,
      headers,
      signal: AbortSignal.timeout(ADMIN_CALL_TIMEOUT_MS),
    });
  } catch (cause) {
    throw new SardinestileError({
      code: 'PEER_UNAVAILABLE',
      message: `${options.adminUrl} cannot be reached`,
      hint: 'Check --admin-url and that the process is running.',
      cause,
    });
  }
}

function toApiError(status: number, text: string): SardinestileError {
  const parsed = errorResponseSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    const message = `unexpected response with HTTP status ${status}`;
    return new SardinestileError({code: 'PEER_UNAVAILABLE', message});
  }
  const {code, message, hint} = parsed.data.error;
  return new SardinestileError({code: code as ErrorCode, message, hint});
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
