import {createUpstreamDispatcher, errorCodeOf, sendOnce} from './http_call.js';
import {
  UpstreamError,
  type UpstreamAdapter,
  type UpstreamEvent,
  type UpstreamHeader,
  type UpstreamRequest,
} from './upstream_adapter.js';

/** Default for the time until the response headers arrive. */
const HEADERS_TIMEOUT_MS = 60_000;

/** Default for the time between two chunks of the response body. */
const BODY_TIMEOUT_MS = 15_000;

/** Greatest status of a response; the parser of HTTP takes any of three digits. */
const MAX_STATUS = 599;

/** Options for `createPlainServiceAdapter`. */
export interface PlainServiceAdapterOptions {
  /** Base URL of the service, such as `http://127.0.0.1:9100`. */
  baseUrl: string;
  headersTimeoutMs?: number;
  bodyTimeoutMs?: number;
}

/** Creates an adapter to a plain HTTP service. */
export function createPlainServiceAdapter(
  options: PlainServiceAdapterOptions,
): UpstreamAdapter {
  const dispatcher = createUpstreamDispatcher({
    headersTimeoutMs: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
    bodyTimeoutMs: options.bodyTimeoutMs ?? BODY_TIMEOUT_MS,
  });

  async function* run(
    call: UpstreamRequest,
    signal: AbortSignal,
  ): AsyncIterable<UpstreamEvent> {
    const response = await sendOnce({
      url: options.baseUrl + call.path,
      method: call.method,
      headers: call.headers,
      body: call.body,
      dispatcher,
      signal,
    });
    if (response.statusCode > MAX_STATUS) {
      const detail = `status ${response.statusCode}`;
      await response.body.dump();
      throw new UpstreamError('unknown_outcome', 'upstream_failed', detail);
    }
    yield {
      kind: 'head',
      status: response.statusCode,
      headers: toHeaders(response.headers),
    };
    try {
      for await (const data of response.body) {
        yield {kind: 'data', data, tokens: 0, text: '', finishReason: ''};
      }
    } catch (error) {
      throw new UpstreamError('partial', 'upstream_failed', errorCodeOf(error));
    }
    yield {kind: 'end', promptTokens: 0, outputTokens: 0};
  }

  return {
    run,
    readLoad: async () => ({running: 0, waiting: 0}),
    sendCommand: async () => {},
    close: () => dispatcher.destroy(),
  };
}

function toHeaders(
  headers: Record<string, string | string[] | undefined>,
): UpstreamHeader[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().map(item => ({name: name.toLowerCase(), value: item})),
  );
}
