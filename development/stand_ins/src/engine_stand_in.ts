import {randomUUID} from 'node:crypto';
import {startHttpServer, type HttpServer} from '@sardinestile/http';
import {H3, readBody, type H3Event} from 'h3';
import {z} from 'zod';
import {
  answerPrompt,
  countAnswerTokens,
  stripAnswerTokens,
} from './deterministic_answer.js';
import {
  createEngineModel,
  DEFAULT_ENGINE_MODEL,
  type EngineModelOptions,
} from './engine_model.js';

const CHARS_PER_TOKEN = 4;

/** Prompts that share this many leading characters share a prefix. */
const PREFIX_CHARS = 256;

/** Options for `startEngineStandIn`. */
export interface EngineStandInOptions {
  host: string;
  port: number;
  models: readonly string[];
  model?: Partial<EngineModelOptions>;
  /** Age of the values in load reports, in milliseconds. */
  loadReportDelayMs?: number;
  /** Whether commands with a stale fencing token are rejected. */
  checksFencing?: boolean;
}

/** A running stand-in engine. */
export interface EngineStandIn {
  port: number;
  counts(): EngineCounts;
  /** Multiplies the duration of all later steps. */
  setSlowdown(factor: number): void;
  /** Stops or resumes token generation; connections stay open. */
  setStalled(isStalled: boolean): void;
  close(): Promise<void>;
  /** Closes all connections abruptly and stops generation, as in a crash. */
  crash(): void;
}

/** Request and token counts of a stand-in engine. */
export interface EngineCounts {
  started: number;
  finished: number;
  cancelled: number;
  running: number;
  tokens: number;
  /** Names of all request headers received. */
  headerNames: string[];
}

const messageSchema = z.looseObject({role: z.string(), content: z.any()});
const requestSchema = z.looseObject({
  model: z.string(),
  messages: z.array(messageSchema).optional(),
  prompt: z.string().optional(),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  priority: z.number().optional(),
  continue_final_message: z.boolean().optional(),
});
type EngineRequest = z.infer<typeof requestSchema>;

const orderSchema = z.object({fencingToken: z.number(), order: z.string()});

interface OpenSequence {
  sendToken(tokenIndex: number): void;
  nextTokenIndex: number;
}

/** Starts a stand-in engine with an OpenAI-compatible API. */
export async function startEngineStandIn(
  options: EngineStandInOptions,
): Promise<EngineStandIn> {
  const model = createEngineModel({...DEFAULT_ENGINE_MODEL, ...options.model});
  const openSequences = new Map<string, OpenSequence>();
  const counts = {started: 0, finished: 0, cancelled: 0, tokens: 0};
  const headerNames = new Set<string>();
  const reports: Array<{atMs: number; running: number; waiting: number}> = [];
  let timer: NodeJS.Timeout | undefined;
  let isStalled = false;
  let highestFencingToken = 0;

  const schedule = () => {
    if (timer || isStalled) return;
    const stepEndMs = model.stepEndMs();
    if (stepEndMs === undefined) return;
    const delayMs = Math.max(0, stepEndMs - performance.now());
    timer = setTimeout(runStep, delayMs);
  };
  const runStep = () => {
    timer = undefined;
    if (isStalled) return;
    for (const id of model.endStep(performance.now()).produced) {
      const sequence = openSequences.get(id);
      if (!sequence) continue;
      counts.tokens++;
      sequence.sendToken(sequence.nextTokenIndex++);
    }
    schedule();
  };
  const readLoad = () => {
    const atMs = performance.now();
    const {running, waiting} = model;
    reports.push({atMs, running, waiting});
    const cutoffMs = atMs - (options.loadReportDelayMs ?? 0);
    while (reports.length > 1 && reports[1].atMs <= cutoffMs) reports.shift();
    return {running: reports[0].running, waiting: reports[0].waiting};
  };
  const generate = (request: EngineRequest): ReadableStream<Uint8Array> => {
    const plan = planAnswer(request);
    const id = randomUUID();
    counts.started++;
    return new ReadableStream({
      start(controller) {
        const sendToken = (index: number) => {
          controller.enqueue(formatChunk(request, id, plan, index));
          if (index + 1 < plan.tokenCount) return;
          openSequences.delete(id);
          counts.finished++;
          controller.enqueue(Buffer.from('data: [DONE]\n\n'));
          controller.close();
        };
        openSequences.set(id, {
          sendToken,
          nextTokenIndex: plan.firstTokenIndex,
        });
        model.submit(
          {
            id,
            promptTokens: plan.promptTokens + plan.firstTokenIndex,
            prefixKey: plan.prefixKey,
            prefixTokens: Math.ceil(PREFIX_CHARS / CHARS_PER_TOKEN),
            outputTokens: plan.tokenCount - plan.firstTokenIndex,
            priority: request.priority ?? 0,
          },
          performance.now(),
        );
        schedule();
      },
      cancel() {
        if (!openSequences.delete(id)) return;
        counts.cancelled++;
        model.cancel(id);
      },
    });
  };
  const handleCompletion = async (event: H3Event): Promise<Response> => {
    for (const name of event.req.headers.keys()) headerNames.add(name);
    const parsed = requestSchema.safeParse(await readBody(event));
    if (!parsed.success || !options.models.includes(parsed.data.model)) {
      return Response.json({error: {message: 'bad request'}}, {status: 400});
    }
    const headers = {'content-type': 'text/event-stream'};
    return new Response(generate(parsed.data), {headers});
  };

  const app = new H3()
    .post('/v1/chat/completions', handleCompletion)
    .post('/v1/completions', handleCompletion)
    .get('/v1/models', () => ({
      object: 'list',
      data: options.models.map(id => ({id, object: 'model'})),
    }))
    .get('/load', readLoad)
    .post('/orders', async event => {
      const order = orderSchema.parse(await readBody(event));
      const isStale = order.fencingToken < highestFencingToken;
      if (options.checksFencing && isStale) {
        return Response.json({error: 'old fencing token'}, {status: 409});
      }
      highestFencingToken = Math.max(highestFencingToken, order.fencingToken);
      return {accepted: order.order};
    });
  const server: HttpServer = await startHttpServer({
    app,
    host: options.host,
    port: options.port,
  });
  return {
    port: server.port,
    counts: () => ({
      ...counts,
      running: openSequences.size,
      headerNames: [...headerNames],
    }),
    setSlowdown: factor => model.setSlowdown(factor),
    setStalled: value => {
      isStalled = value;
      schedule();
    },
    close: async () => {
      clearTimeout(timer);
      server.destroy();
    },
    crash: () => {
      clearTimeout(timer);
      isStalled = true;
      server.destroy();
    },
  };
}

interface AnswerPlan {
  tokenCount: number;
  firstTokenIndex: number;
  promptTokens: number;
  prefixKey: string;
  textAt(index: number): string;
}

/** Derives the answer and the index of the first token to send if resumed. */
function planAnswer(request: EngineRequest): AnswerPlan {
  const messages = [...(request.messages ?? [])];
  const partialMessage = request.continue_final_message
    ? messages.pop()
    : undefined;
  const prompt = request.prompt ?? JSON.stringify(messages);
  const promptWithoutAnswer = partialMessage
    ? prompt
    : stripAnswerTokens(prompt);
  const partialText = partialMessage
    ? String(partialMessage.content)
    : prompt.slice(promptWithoutAnswer.length);
  const firstTokenIndex = partialText ? countAnswerTokens(partialText) : 0;
  const totalTokens = request.max_tokens
    ? request.max_tokens + firstTokenIndex
    : undefined;
  const answer = answerPrompt(promptWithoutAnswer, totalTokens);
  return {
    tokenCount: Math.max(answer.tokenCount, firstTokenIndex + 1),
    firstTokenIndex,
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    prefixKey: prompt.slice(0, PREFIX_CHARS),
    textAt: answer.tokenAt,
  };
}

function formatChunk(
  request: EngineRequest,
  id: string,
  plan: AnswerPlan,
  index: number,
): Uint8Array {
  const text = plan.textAt(index);
  const isLast = index + 1 >= plan.tokenCount;
  const finishReason = isLast ? 'stop' : null;
  const choice = request.messages
    ? {index: 0, delta: {content: text}, finish_reason: finishReason}
    : {index: 0, text, finish_reason: finishReason};
  const usage = {
    prompt_tokens: plan.promptTokens,
    completion_tokens: index + 1 - plan.firstTokenIndex,
  };
  const chunk = {
    id,
    object: request.messages ? 'chat.completion.chunk' : 'text_completion',
    model: request.model,
    choices: [choice],
    ...(isLast ? {usage} : {}),
  };
  return Buffer.from(`data: ${JSON.stringify(chunk)}\n\n`);
}
