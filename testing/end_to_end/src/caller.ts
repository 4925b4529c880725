import {request} from 'undici';

/** Response to a chat completion request as the caller received it. */
export interface ChatResponse {
  status: number;
  /** Whether the stream ended with [DONE], or the whole response had status 200. */
  isComplete: boolean;
  /** Text of all tokens received. */
  text: string;
  /** Error code from the body or the stream, if any. */
  errorCode?: string;
  outcome?: string;
}

/** Options for callChat. */
export interface ChatCallOptions {
  address: string;
  secret: string;
  model: string;
  content: string;
  isStreamed?: boolean;
  maxTokens?: number;
  requestClass?: string;
  signal?: AbortSignal;
  /** Called with the text of each event of a stream. */
  onText?: (text: string) => void;
}

interface StreamEvent {
  choices?: Array<{delta: {content?: string}}>;
  error?: {code: string; outcome: string};
}

/** Sends a chat completion request and collects the response. */
export async function callChat(call: ChatCallOptions): Promise<ChatResponse> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${call.secret}`,
  };
  if (call.requestClass) headers['x-request-class'] = call.requestClass;
  const response = await request(`http://${call.address}/v1/chat/completions`, {
    method: 'POST',
    headers,
    signal: call.signal,
    body: JSON.stringify({
      model: call.model,
      stream: call.isStreamed ?? true,
      max_tokens: call.maxTokens,
      messages: [{role: 'user', content: call.content}],
    }),
  });
  const status = response.statusCode;
  const isStream = /event-stream/.test(
    String(response.headers['content-type']),
  );
  if (!isStream) return readJsonResponse(status, await response.body.json());
  return readStream(status, response.body, call.onText);
}

function readJsonResponse(status: number, json: unknown): ChatResponse {
  const {choices, error} = json as {
    choices?: Array<{message: {content: string}}>;
    error?: {code: string; outcome: string};
  };
  return {
    status,
    isComplete: status === 200,
    text: choices?.[0].message.content ?? '',
    errorCode: error?.code,
    outcome: error?.outcome,
  };
}

async function readStream(
  status: number,
  body: AsyncIterable<Buffer>,
  onText?: (text: string) => void,
): Promise<ChatResponse> {
  const response: ChatResponse = {status, isComplete: false, text: ''};
  let pendingText = '';
  const readEvent = (event: string) => {
    const data = event.replace(/^data: /, '');
    if (data === '[DONE]') {
      response.isComplete = true;
      return;
    }
    const payload = JSON.parse(data) as StreamEvent;
    const text = payload.choices?.[0]?.delta.content ?? '';
    response.text += text;
    response.errorCode ??= payload.error?.code;
    response.outcome ??= payload.error?.outcome;
    if (text) onText?.(text);
  };
  try {
    for await (const bytes of body) {
      const events = (pendingText + bytes.toString()).split('\n\n');
      pendingText = events.pop()!;
      events.forEach(readEvent);
    }
  } catch {
    response.isComplete = false;
  }
  return response;
}
