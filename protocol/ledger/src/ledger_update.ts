import {
  harmfulPartSchema,
  partAnswerSchema,
  upstreamCrashSchema,
} from '@sardinestile/quarantine';
import {usageReportSchema} from '@sardinestile/shares';
import {z} from 'zod';

/** Number of tokens; more than the memory of any engine holds would outlast all later ones. */
const tokenCount = z.number().nonnegative().max(1e9);

/** A gateway sent a request to an upstream. */
const placedSchema = z.object({
  kind: z.literal('placed'),
  requestId: z.string(),
  upstreamId: z.string(),
  promptParts: z.array(z.object({id: z.string(), tokens: tokenCount})),
  uncachedTokens: tokenCount,
  promptTokens: tokenCount,
  urgency: z.number(),
  targetGapMs: z.number().optional(),
});

/** An upstream returned the first event of a request. */
const firstEventSchema = z.object({
  kind: z.literal('firstEvent'),
  requestId: z.string(),
  upstreamId: z.string(),
  /** Service that began the stream; absent from gateways whose build does not state it. */
  service: z.string().optional(),
  /** Software version that began the stream, stated with the service; absent if it is unknown. */
  softwareVersion: z.string().optional(),
});

/** A request ended at an upstream. */
const endedSchema = z.object({
  kind: z.literal('ended'),
  requestId: z.string(),
  upstreamId: z.string(),
  /** Absent if the way the request ended is no evidence of the upstream's health. */
  hasFailed: z.boolean().optional(),
});

/** An upstream stated in a response that it is leaving. */
const leavingSchema = z.object({
  kind: z.literal('leaving'),
  upstreamId: z.string(),
  /** Start of the upstream in Unix milliseconds; a later start is another upstream. */
  startedAtWallMs: z.number(),
});

/** An upstream stated another limit for the requests of all gateways together. */
const limitSchema = z.object({
  kind: z.literal('limit'),
  upstreamId: z.string(),
  /** Start of the upstream in Unix milliseconds; a later start is another upstream. */
  startedAtWallMs: z.number(),
  /** Requests a second; absent if it states no limit any more. */
  limitPerS: z.number().nonnegative().optional(),
});

/** What organisations asked for and were given at a service, over the last seconds. */
const usageSchema = usageReportSchema.extend({
  kind: z.literal('usage'),
  /** Number of the group whose gateways were counted; absent for the sender alone. */
  group: z.number().int().nonnegative().optional(),
  /** Age of the sums when they were sent, in milliseconds. */
  ageMs: z.number().nonnegative(),
});

/**
 * A change in the state of one request at one upstream, or of an upstream, or
 * evidence about prompt parts that crash upstreams.
 */
export const ledgerUpdateSchema = z.discriminatedUnion('kind', [
  placedSchema,
  firstEventSchema,
  endedSchema,
  leavingSchema,
  limitSchema,
  upstreamCrashSchema,
  partAnswerSchema,
  harmfulPartSchema,
  usageSchema,
]);

/** A change in the state of one request at one upstream, or of an upstream. */
export type LedgerUpdate = z.infer<typeof ledgerUpdateSchema>;
