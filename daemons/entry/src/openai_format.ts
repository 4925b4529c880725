import type {DispatchChunk} from '@sardinestile/placement';
import type {EngineCall} from './classify_request.js';

/** The event that ends a complete stream in the OpenAI protocol. */
const DONE_EVENT = 'data: [DONE]\n\n';

/** The fields that all events of one response share. */
export interface ResponseIdentity {
  id: string;
  /** Time of creation in seconds since the Unix epoch. */
  createdS: number;
  model: string;
}

/** Token counts of one response. */
export interface TokenUsage {
  promptTokens: number;
  outputTokens: number;
}

interface ToolCallDelta {
  index: number;
  id?: string;
  type?: string;
  function?: {name?: string; arguments?: string};
}

interface Delta {
  role?: string;
  content?: string | null;
  tool_calls?: ToolCallDelta[];
}

/** Formats a chunk as a server-sent event. */
export type ChunkFormatter = (chunk: DispatchChunk) => string;

/** Formats the responses to one kind of call, streamed or buffered. */
export interface ResponseFormat {
  /**
   * Creates the chunk formatter of one response. It runs for every token, so
   * the shared fields are serialized only once.
   */
  createChunkFormatter(identity: ResponseIdentity): ChunkFormatter;
  formatUsageEvent(identity: ResponseIdentity, usage: TokenUsage): string;
  /** Returns the JSON body of a response that isn't streamed. */
  formatResponse(
    identity: ResponseIdentity,
    chunks: readonly DispatchChunk[],
    usage: TokenUsage,
  ): object;
}

/** Response formats by kind of call. */
export const RESPONSE_FORMATS: Readonly<Record<EngineCall, ResponseFormat>> = {
  chat: {
    createChunkFormatter(identity) {
      const prefix = formatChunkPrefix(identity, 'chat.completion.chunk');
      return chunk =>
        `${prefix}"delta":${decodeUtf8(chunk.data)},"finish_reason":${finishReasonJson(chunk)}}]}\n\n`;
    },
    formatUsageEvent: (identity, usage) =>
      formatEvent({
        ...formatIdentity(identity, 'chat.completion.chunk'),
        choices: [],
        usage: formatUsage(usage),
      }),
    formatResponse: (identity, chunks, usage) => ({
      ...formatIdentity(identity, 'chat.completion'),
      choices: [
        {
          index: 0,
          message: mergeDeltas(chunks.map(parseDelta)),
          finish_reason: lastFinishReason(chunks),
        },
      ],
      usage: formatUsage(usage),
    }),
  },
  completion: {
    createChunkFormatter(identity) {
      const prefix = formatChunkPrefix(identity, 'text_completion');
      return chunk =>
        `${prefix}"text":${JSON.stringify(chunk.text)},"finish_reason":${finishReasonJson(chunk)}}]}\n\n`;
    },
    formatUsageEvent: (identity, usage) =>
      formatEvent({
        ...formatIdentity(identity, 'text_completion'),
        choices: [],
        usage: formatUsage(usage),
      }),
    formatResponse: (identity, chunks, usage) => ({
      ...formatIdentity(identity, 'text_completion'),
      choices: [
        {
          index: 0,
          text: chunks.map(chunk => chunk.text).join(''),
          finish_reason: lastFinishReason(chunks),
        },
      ],
      usage: formatUsage(usage),
    }),
  },
};

/** Returns the event that ends a complete stream. */
export function doneEvent(): string {
  return DONE_EVENT;
}

/** Formats a JSON payload as a server-sent event. */
export function formatEvent(payload: object): string {
  return `data: ${JSON.stringify(payload)}\n\n`;
}

function formatIdentity(identity: ResponseIdentity, object: string) {
  const {id, createdS, model} = identity;
  return {id, object, created: createdS, model};
}

function formatUsage({promptTokens, outputTokens}: TokenUsage) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
}

/**
 * Returns the start of an event, which is the same for all chunks of a
 * response.
 */
function formatChunkPrefix(identity: ResponseIdentity, object: string): string {
  const identityJson = JSON.stringify(formatIdentity(identity, object));
  return `data: ${identityJson.slice(0, -1)},"choices":[{"index":0,`;
}

function finishReasonJson({finishReason}: DispatchChunk): string {
  return finishReason ? JSON.stringify(finishReason) : 'null';
}

function decodeUtf8(data: Uint8Array): string {
  return Buffer.from(data.buffer, data.byteOffset, data.length).toString();
}

function parseDelta(chunk: DispatchChunk): Delta {
  return JSON.parse(decodeUtf8(chunk.data)) as Delta;
}

function lastFinishReason(chunks: readonly DispatchChunk[]): string | null {
  const last = chunks.findLast(chunk => chunk.finishReason);
  return last?.finishReason ?? null;
}

function mergeDeltas(deltas: readonly Delta[]) {
  const toolCalls: ToolCallDelta[] = [];
  let content: string | null = null;
  for (const delta of deltas) {
    if (typeof delta.content === 'string') {
      content = (content ?? '') + delta.content;
    }
    delta.tool_calls?.forEach(call => mergeToolCall(toolCalls, call));
  }
  return {
    role: 'assistant',
    content,
    ...(toolCalls.length > 0 ? {tool_calls: toolCalls} : {}),
  };
}

function mergeToolCall(calls: ToolCallDelta[], delta: ToolCallDelta): void {
  const merged = calls[delta.index];
  if (!merged) {
    calls[delta.index] = structuredClone(delta);
    return;
  }
  merged.function ??= {};
  merged.function.arguments =
    (merged.function.arguments ?? '') + (delta.function?.arguments ?? '');
}
