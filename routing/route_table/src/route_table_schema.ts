import {listOf} from '@sardinestile/types';
import {z} from 'zod';

/** Schema of RouteKind. */
export const routeKindSchema = z.enum([
  /** A request can run any number of times. */
  'idempotent',
  /** A request runs at most once. */
  'once',
  /** The response is a stream of numbered events. */
  'stream',
]);

/** Rule for retries on a route. */
export type RouteKind = z.infer<typeof routeKindSchema>;

/** Schema of a service that receives a share of the requests of a route. */
export const routeTargetSchema = z.object({
  service: z.string(),
  /** Share of the requests, relative to the weights of the other targets. */
  weight: z.number().nonnegative(),
});

/** Schema of Route. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  targets: listOf(routeTargetSchema).refine(targets => targets.length > 0),
  /** Maximum time until the response is complete. */
  timeoutMs: z.number().positive(),
  /** Target time to the response, or to the first event of a stream. */
  targetLatencyMs: z.number().positive(),
  /** Target for the maximum gap between two events of a stream. */
  targetGapMs: z.number().positive().optional(),
  /**
   * Time without an event after which callers of a stream leave, also before the first
   * one; absent if they wait until their deadline.
   */
  callerPatienceMs: z.number().positive().optional(),
  /** Priority in the queue of an upstream; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Maximum number of upstreams that one request is sent to. */
  maxAttempts: z.number().int().positive(),
  /** Whether requests are accepted without a key. */
  isOpen: z.boolean(),
  /** Whether another upstream can continue a stream after a given event. */
  isResumable: z.boolean(),
  /** Whether requests list the parts of their prompt, which upstreams cache. */
  hasPromptParts: z.boolean(),
});

/** Route of HTTP requests to one or more services. */
export type Route = z.infer<typeof routeSchema>;

/** Schema of EngineTraits. */
export const engineTraitsSchema = z.object({
  /** Number of requests that one engine runs at the same time. */
  slots: z.number().int().positive(),
  /** Number of tokens that fit into the memory of one engine. */
  memoryTokens: z.number().positive(),
  /**
   * Bytes to transfer for each cached token that is copied to another engine.
   */
  bytesPerToken: z.number().nonnegative(),
  /**
   * Bandwidth for copies between two engines, in megabits per second; 0 for no
   * copies.
   */
  transferMbps: z.number().nonnegative(),
});

/** Properties of the model engines of a service. */
export type EngineTraits = z.infer<typeof engineTraitsSchema>;

/** Schema of ColdStart. */
export const coldStartSchema = z.object({
  /** Time for which an upstream is cold after its start. */
  durationMs: z.number().positive(),
  /** Requests a second that it takes meanwhile from all gateways together. */
  requestsPerS: z.number().positive(),
});

/** Limit on the requests to upstreams that have just started. */
export type ColdStart = z.infer<typeof coldStartSchema>;

/** Schema of RoutedService. */
export const routedServiceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Maximum number of connections that one upstream accepts in total. */
  maxConnections: z.number().int().positive(),
  engine: engineTraitsSchema.optional(),
  /** Absent if its upstreams take all requests from their start. */
  coldStart: coldStartSchema.optional(),
  /**
   * Limits on the upstreams in each availability zone; absent if the platform
   * does not scale the service.
   */
  scaling: z
    .object({
      minPerZone: z.number().int().nonnegative(),
      maxPerZone: z.number().int().nonnegative(),
      bootMs: z.number().nonnegative(),
    })
    .optional(),
});

/** Service that routes send requests to. */
export type RoutedService = z.infer<typeof routedServiceSchema>;

/** Schema of KeyHolder. */
export const keyHolderSchema = z.object({
  name: z.string(),
  keys: listOf(z.string()),
  /** Takes precedence over the priority of the route. */
  priority: z.number().int().nonnegative().optional(),
});

/** Organisation with its API keys and its priority. */
export type KeyHolder = z.infer<typeof keyHolderSchema>;

/** Schema of CallerLimits. */
export const callerLimitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** Limits on the size and timing of requests from callers. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** Schema of RouteTable. */
export const routeTableSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: listOf(routeSchema),
  services: listOf(routedServiceSchema),
  limits: callerLimitsSchema,
  /** Absent if no route needs a key. */
  keyHolders: listOf(keyHolderSchema).optional(),
});

/** One complete version of the routes, services, limits and keys. */
export type RouteTable = z.infer<typeof routeTableSchema>;
