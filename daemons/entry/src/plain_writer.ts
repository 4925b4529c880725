import {createResponseStream, type ResponseStream} from './response_stream.js';
import {creditBytesOf} from './engine_writers.js';
import {
  forwardableResponseHeaders,
  type HeaderPair,
} from './forwarded_headers.js';
import type {ResponseWriterFactory} from './serve_request.js';

/** Statuses for which the Response constructor accepts no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 205, 304]);

/** Observes a response while it is written, for example to store it. */
export interface ResponseTap {
  onHead(status: number, headers: HeaderPair[]): void;
  onData(data: Uint8Array): void;
}

/**
 * Returns the factory of a writer that passes on a plain service's response.
 */
export function createPlainWriterFactory(
  requestId: string,
  tap?: ResponseTap,
): ResponseWriterFactory {
  return task => {
    let resolve: (response: Response) => void;
    const response = new Promise<Response>(done => (resolve = done));
    let stream: ResponseStream | undefined;
    return {
      response,
      get hasStarted() {
        return stream !== undefined;
      },
      onHead(status, upstreamHeaders) {
        const forwardedHeaders = forwardableResponseHeaders(upstreamHeaders);
        tap?.onHead(status, forwardedHeaders);
        stream = createResponseStream({
          onConsumed: bytes => task().recordConsumed(bytes),
          onCancel: () => task().cancel(),
        });
        const headers = new Headers({'x-request-id': requestId});
        forwardedHeaders.forEach(({name, value}) =>
          headers.append(name, value),
        );
        const body = BODILESS_STATUSES.has(status) ? null : stream.body;
        resolve(new Response(body, {status, headers}));
      },
      onChunk(chunk) {
        tap?.onData(chunk.data);
        stream?.push(chunk.data, creditBytesOf(chunk));
      },
      onComplete: () => stream?.end(),
      onInterrupted: refusal => stream?.abort(refusal.code),
    };
  };
}
