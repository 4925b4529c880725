import type {RefusalCode} from '@sardinestile/errors';
import type {
  RequestClass,
  Route,
  ServiceText,
} from '@sardinestile/service_text';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

/**
 * Header that names the request class; without it the service's default class
 * applies.
 */
export const REQUEST_CLASS_HEADER = 'x-request-class';

/**
 * Characters of a prompt in its prefix key. Requests with one key prefer the
 * same upstreams, which may have the prefix in their KV cache.
 */
const PREFIX_KEY_CHARS = 512;

/**
 * Prompt characters that are estimated as one token; the exact count is known
 * only after the run.
 */
const ESTIMATED_CHARS_PER_TOKEN = 4;

/** Schema of the fields of an engine request that the router reads. */
const engineBodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({role: z.string()})).optional(),
  prompt: z.string().optional(),
  stream: z.boolean().nullish(),
  n: z.number().nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
});

type EngineBody = z.infer<typeof engineBodySchema>;

/** The kinds of OpenAI-compatible calls. */
export type EngineCall = 'chat' | 'completion';

/** How an engine's answer is written; has no part of the body, which the request keeps as bytes. */
export interface EngineAnswerForm {
  call: EngineCall;
  model: string;
  isStreamed: boolean;
  /** Whether a stream ends with the token counts. */
  includesUsage: boolean;
}

/**
 * A request's class and the properties that decide how it is placed and
 * retried.
 */
export interface ClassifiedRequest {
  requestClass: RequestClass;
  isIdempotent: boolean;
  /** Whether callers without a key may make the request. */
  isOpenToAll: boolean;
  /** Estimated for engines; 1 for plain services. */
  promptTokens: number;
  /** Key for prefix-aware placement; empty for plain services. */
  prefixKey: string;
  /** Set only for calls to engines. */
  engine?: EngineAnswerForm;
}

/** The refusal of a request that could not be classified. */
export interface ClassificationError {
  code: RefusalCode;
  detail: string;
}

type Classification = Result<ClassifiedRequest, ClassificationError>;

/**
 * Validates the body of a call to an engine and finds its request class by
 * model and class name.
 */
export function classifyEngineCall(
  serviceText: ServiceText,
  call: EngineCall,
  bytes: Uint8Array,
  className: string | null,
): Classification {
  const json = parseJson(bytes);
  if (json === undefined) return reject('invalid_json', 'the body is no JSON');
  const parsed = engineBodySchema.safeParse(json);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const detail = `${issue.path.join('.')}: ${issue.message}`;
    return reject('invalid_request', detail);
  }
  const body = parsed.data;
  const validationError = findValidationError(call, body);
  if (validationError) return reject('invalid_request', validationError);
  const service = serviceText.services.find(candidate =>
    candidate.models.includes(body.model),
  );
  if (!service) return reject('unknown_model', `no model "${body.model}"`);
  const requestClass = findRequestClass(serviceText, service.name, className);
  if (!requestClass) {
    return reject('invalid_request', `no request class "${className}"`);
  }
  const {model} = body;
  const prompt = body.prompt ?? JSON.stringify(body.messages);
  const prefix = prompt.slice(0, PREFIX_KEY_CHARS);
  return Ok({
    requestClass,
    isIdempotent: true,
    isOpenToAll: false,
    promptTokens: Math.ceil(prompt.length / ESTIMATED_CHARS_PER_TOKEN),
    // A slice would keep the whole prompt in the heap.
    prefixKey: Buffer.from(`${model}:${prefix}`).toString(),
    engine: {
      call,
      model,
      isStreamed: body.stream ?? false,
      includesUsage: body.stream_options?.include_usage ?? false,
    },
  });
}

/**
 * Finds the request class of a call to a plain service by its method and path.
 */
export function classifyPlainCall(
  serviceText: ServiceText,
  method: string,
  path: string,
): Classification {
  const route = findRoute(serviceText.routes, method, path);
  const requestClass = serviceText.requestClasses.find(
    candidate => candidate.name === route?.requestClass,
  );
  if (!route || !requestClass) {
    return reject('unknown_route', `no route ${method} ${path}`);
  }
  return Ok({
    requestClass,
    isIdempotent: route.idempotent,
    isOpenToAll: route.access === 'open',
    promptTokens: 1,
    prefixKey: '',
  });
}

/**
 * Returns the route with the longest path that is a prefix of the request's
 * path.
 */
function findRoute(
  routes: readonly Route[],
  method: string,
  path: string,
): Route | undefined {
  return routes
    .filter(route => (route.methods as string[]).includes(method))
    .filter(
      ({path: prefix}) => path === prefix || path.startsWith(prefix + '/'),
    )
    .sort((a, b) => b.path.length - a.path.length)[0];
}

function findRequestClass(
  serviceText: ServiceText,
  service: string,
  className: string | null,
): RequestClass | undefined {
  const classes = serviceText.requestClasses.filter(c => c.service === service);
  if (className) return classes.find(c => c.name === className);
  return classes.find(c => c.isDefault) ?? classes[0];
}

function findValidationError(
  call: EngineCall,
  body: EngineBody,
): string | undefined {
  if (call === 'chat' && !body.messages?.length) return 'messages is missing';
  if (call === 'completion' && !body.prompt) return 'prompt must be a text';
  if ((body.n ?? 1) !== 1) return 'n must be 1';
  return undefined;
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString());
  } catch {
    return undefined;
  }
}

function reject(code: RefusalCode, detail: string): Classification {
  return Err({code, detail});
}
