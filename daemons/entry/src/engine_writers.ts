import type {DispatchChunk} from '@sardinestile/placement';
import {createResponseStream, type ResponseStream} from './response_stream.js';
import type {ClassifiedRequest} from './classify_request.js';
import {
  RESPONSE_FORMATS,
  doneEvent,
  formatEvent,
  type ResponseIdentity,
} from './openai_format.js';
import {refusalBody} from './refusal_response.js';
import type {ResponseWriterFactory, ResponseWriter} from './serve_request.js';

/**
 * Maximum length of a non-streamed response, which is buffered in memory;
 * longer ones are cancelled.
 */
const MAX_BUFFERED_CHARS = 4_000_000;

/**
 * Returns the factory of a streaming or a buffering writer, as the engine call
 * requests.
 */
export function createEngineWriterFactory(
  requestId: string,
  request: ClassifiedRequest,
): ResponseWriterFactory {
  const {call, model, isStreamed, includesUsage} = request.engine!;
  const identity: ResponseIdentity = {
    id: `${call === 'chat' ? 'chatcmpl' : 'cmpl'}-${requestId}`,
    createdS: Math.floor(Date.now() / 1000),
    model,
  };
  const format = RESPONSE_FORMATS[call];
  return isStreamed
    ? task => createStreamedWriter(identity, format, includesUsage, task)
    : task => createBufferedWriter(identity, format, task);
}

type Format = (typeof RESPONSE_FORMATS)[keyof typeof RESPONSE_FORMATS];
type GetRequestTask = Parameters<ResponseWriterFactory>[0];

function createStreamedWriter(
  identity: ResponseIdentity,
  format: Format,
  includesUsage: boolean,
  task: GetRequestTask,
): ResponseWriter {
  let resolve: (response: Response) => void;
  const response = new Promise<Response>(done => (resolve = done));
  const formatChunk = format.createChunkFormatter(identity);
  let stream: ResponseStream | undefined;

  const ensureStarted = () => {
    if (stream) return stream;
    stream = createResponseStream({
      onConsumed: bytes => task().recordConsumed(bytes),
      onCancel: () => task().cancel(),
    });
    const headers = {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': identity.id,
    };
    resolve(new Response(stream.body, {headers}));
    return stream;
  };
  const push = (event: string, creditBytes: number) =>
    ensureStarted().push(Buffer.from(event), creditBytes);
  return {
    response,
    get hasStarted() {
      return stream !== undefined;
    },
    onHead: () => {},
    onChunk: chunk => push(formatChunk(chunk), creditBytesOf(chunk)),
    onComplete(promptTokens, outputTokens) {
      if (includesUsage) {
        push(
          format.formatUsageEvent(identity, {promptTokens, outputTokens}),
          0,
        );
      }
      push(doneEvent(), 0);
      ensureStarted().end();
    },
    onInterrupted(refusal) {
      push(formatEvent(refusalBody(refusal)), 0);
      ensureStarted().abort(refusal.code);
    },
  };
}

function createBufferedWriter(
  identity: ResponseIdentity,
  format: Format,
  task: GetRequestTask,
): ResponseWriter {
  let resolve: (response: Response) => void;
  const response = new Promise<Response>(done => (resolve = done));
  const chunks: DispatchChunk[] = [];
  let bufferedChars = 0;
  return {
    response,
    hasStarted: false,
    onHead: () => {},
    onChunk(chunk) {
      chunks.push(chunk);
      bufferedChars += chunk.text.length;
      if (bufferedChars > MAX_BUFFERED_CHARS) task().cancel();
      else task().recordConsumed(creditBytesOf(chunk));
    },
    onComplete(promptTokens, outputTokens) {
      const usage = {promptTokens, outputTokens};
      const headers = {'x-request-id': identity.id};
      resolve(
        Response.json(format.formatResponse(identity, chunks, usage), {
          headers,
        }),
      );
    },
    onInterrupted: () => {},
  };
}

/** Returns the bytes of a chunk that the agent deducts from its credit. */
export function creditBytesOf(chunk: DispatchChunk): number {
  return chunk.data.length + chunk.text.length;
}
