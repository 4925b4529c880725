import {z} from 'zod';

/** What may be repeated on a route. */
export const routeKindSchema = z.enum([
  /** May run any number of times. */
  'idempotent',
  /** Runs at most once for each request of a caller. */
  'once',
  /** Answers with a stream of numbered events. */
  'stream',
]);

/** What may be repeated on a route. */
export type RouteKind = z.infer<typeof routeKindSchema>;

/** A service that gets part of a route's requests. */
export const routeTargetSchema = z.object({
  service: z.string(),
  /** Share of the requests, relative to the other targets of the route. */
  weight: z.number().nonnegative(),
});

/** A route of generic requests. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  targets: z.array(routeTargetSchema).min(1),
  /** Longest time until the final answer. */
  timeoutMs: z.number().positive(),
  /** Time to the answer, or to the first event of a stream, that callers want. */
  targetLatencyMs: z.number().positive(),
  /** Longest pause between two events that callers want. */
  targetGapMs: z.number().positive().optional(),
  /** Tier of the route; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Upstreams that one request may be sent to. */
  maxAttempts: z.number().int().positive(),
  /** Whether requests need no key. */
  isOpen: z.boolean(),
  /** Whether a stream can go on at another upstream after a given event. */
  isResumable: z.boolean(),
  /** Whether requests name the parts of their prompt, which upstreams cache. */
  hasPromptParts: z.boolean(),
});

/** A route of generic requests. */
export type Route = z.infer<typeof routeSchema>;

/** What is known of the model engines of a service. */
export const engineTraitsSchema = z.object({
  /** Requests that one engine runs at once. */
  slots: z.number().int().positive(),
  /** Tokens that fit into one engine's memory. */
  memoryTokens: z.number().positive(),
  /** Bytes of memory that a token takes when it is moved to another engine. */
  bytesPerToken: z.number().nonnegative(),
  /** Bandwidth between two engines' memories. */
  transferMbps: z.number().nonnegative(),
});

/** What is known of the model engines of a service. */
export type EngineTraits = z.infer<typeof engineTraitsSchema>;

/** A service whose upstreams take generic requests. */
export const routedServiceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one upstream accepts from all callers. */
  maxConnections: z.number().int().positive(),
  engine: engineTraitsSchema.optional(),
  /** Limits of scaling in each availability zone, where the platform scales it. */
  scaling: z
    .object({
      minPerZone: z.number().int().nonnegative(),
      maxPerZone: z.number().int().nonnegative(),
      bootMs: z.number().nonnegative(),
    })
    .optional(),
});

/** A service whose upstreams take generic requests. */
export type RoutedService = z.infer<typeof routedServiceSchema>;

/** An organisation and the keys that it holds. */
export const keyHolderSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Goes before the route's priority. */
  priority: z.number().int().nonnegative().optional(),
});

/** An organisation and the keys that it holds. */
export type KeyHolder = z.infer<typeof keyHolderSchema>;

/** What a caller may send. */
export const callerLimitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** What a caller may send. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** One version of the generic routes, whole. */
export const routeTableSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(routedServiceSchema),
  limits: callerLimitsSchema,
  /** Absent where no route needs a key. */
  keyHolders: z.array(keyHolderSchema).optional(),
});

/** One version of the generic routes, whole. */
export type RouteTable = z.infer<typeof routeTableSchema>;
