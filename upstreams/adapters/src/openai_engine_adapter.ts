import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {z} from 'zod';
import {createUpstreamDispatcher, errorCodeOf, sendOnce} from './http_call.js';
import {
  UpstreamError,
  type UpstreamAdapter,
  type UpstreamEvent,
  type UpstreamRequest,
} from './upstream_adapter.js';

/** Default for the time until the response headers arrive. */
const HEADERS_TIMEOUT_MS = 30_000;

/** Default for the time between two chunks of a streamed response. */
const BODY_TIMEOUT_MS = 5_000;

/** Timeout for reading the load and for sending a command. */
const CONTROL_TIMEOUT_MS = 1_000;

/** Payload of the event that ends a stream in the OpenAI-compatible protocol. */
const STREAM_END_MARKER = '[DONE]';

/** Options for `createOpenaiEngineAdapter`. */
export interface OpenaiEngineAdapterOptions {
  /** Base URL of the engine, such as `http://127.0.0.1:9000`. */
  baseUrl: string;
  headersTimeoutMs?: number;
  bodyTimeoutMs?: number;
}

const chunkSchema = z.looseObject({
  choices: z.array(
    z.looseObject({
      delta: z.looseObject({content: z.string().nullish()}).optional(),
      text: z.string().optional(),
      finish_reason: z.string().nullish(),
    }),
  ),
  usage: z
    .looseObject({
      prompt_tokens: z.number().int(),
      completion_tokens: z.number().int(),
    })
    .nullish(),
});

const loadSchema = z.looseObject({
  running: z.number(),
  waiting: z.number(),
});

type EngineRequestBody = Record<string, unknown> & {messages?: unknown[]};

/** Creates an adapter to an OpenAI-compatible engine. */
export function createOpenaiEngineAdapter(
  options: OpenaiEngineAdapterOptions,
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
      method: 'POST',
      headers: [{name: 'content-type', value: 'application/json'}],
      body: buildRequestBody(call),
      dispatcher,
      signal,
    });
    if (response.statusCode !== 200) {
      throw await errorFromResponse(response.statusCode, response.body);
    }
    yield {kind: 'head', status: 200, headers: []};
    yield* readEventStream(response.body);
  }

  return {
    run,
    readLoad: async () => {
      const response = await request(`${options.baseUrl}/load`, {
        dispatcher,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      return loadSchema.parse(await response.body.json());
    },
    sendCommand: async command => {
      const response = await request(`${options.baseUrl}/orders`, {
        method: 'POST',
        body: JSON.stringify(command),
        headers: {'content-type': 'application/json'},
        dispatcher,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      await response.body.dump();
      if (response.statusCode === 200) return;
      const detail = `command rejected with status ${response.statusCode}`;
      throw new UpstreamError('not_run', 'upstream_failed', detail);
    },
    close: () => dispatcher.destroy(),
  };
}

async function errorFromResponse(
  status: number,
  body: {text(): Promise<string>},
): Promise<UpstreamError> {
  const detail = `status ${status}`;
  await body.text().catch(() => '');
  const isClientError = status >= 400 && status < 500;
  return isClientError
    ? new UpstreamError('not_run', 'invalid_request', detail)
    : new UpstreamError('unknown_outcome', 'upstream_failed', detail);
}

async function* readEventStream(
  body: AsyncIterable<Uint8Array>,
): AsyncIterable<UpstreamEvent> {
  const decoder = new TextDecoder();
  const payloads: string[] = [];
  const parser = createParser({onEvent: event => payloads.push(event.data)});
  const endEvent = {kind: 'end' as const, promptTokens: 0, outputTokens: 0};
  let hasStreamEnded = false;
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, {stream: true}));
      for (const payload of payloads.splice(0)) {
        if (payload === STREAM_END_MARKER) {
          hasStreamEnded = true;
          continue;
        }
        const chunk = chunkSchema.parse(JSON.parse(payload));
        endEvent.promptTokens =
          chunk.usage?.prompt_tokens ?? endEvent.promptTokens;
        endEvent.outputTokens =
          chunk.usage?.completion_tokens ?? endEvent.outputTokens;
        if (chunk.choices.length > 0) yield toDataEvent(chunk);
      }
    }
  } catch (error) {
    throw new UpstreamError('partial', 'upstream_failed', errorCodeOf(error));
  }
  if (!hasStreamEnded) {
    throw new UpstreamError('partial', 'upstream_failed', 'stream ended early');
  }
  yield endEvent;
}

function toDataEvent(chunk: z.infer<typeof chunkSchema>): UpstreamEvent {
  const [choice] = chunk.choices;
  const text = choice.delta?.content ?? choice.text ?? '';
  return {
    kind: 'data',
    data: choice.delta
      ? Buffer.from(JSON.stringify(choice.delta))
      : new Uint8Array(0),
    tokens: text ? 1 : 0,
    text,
    finishReason: choice.finish_reason ?? '',
  };
}

/**
 * Builds the request body for the engine: adds streaming, the priority and, for
 * a resumed request, the output generated so far.
 */
function buildRequestBody(call: UpstreamRequest): Uint8Array {
  const body = JSON.parse(
    Buffer.from(call.body).toString(),
  ) as EngineRequestBody;
  body.stream = true;
  body.stream_options = {include_usage: true};
  body.priority = call.priority;
  if (call.resumeText) appendResumeText(body, call);
  return Buffer.from(JSON.stringify(body));
}

function appendResumeText(
  body: EngineRequestBody,
  call: UpstreamRequest,
): void {
  if (body.messages) {
    const partialMessage = {role: 'assistant', content: call.resumeText};
    body.messages = [...body.messages, partialMessage];
    body.continue_final_message = true;
    body.add_generation_prompt = false;
  } else {
    body.prompt = String(body.prompt) + call.resumeText;
  }
  for (const name of ['max_tokens', 'max_completion_tokens'] as const) {
    const limit = body[name];
    if (typeof limit !== 'number') continue;
    body[name] = Math.max(1, limit - call.resumeTokens);
  }
}
