import {z} from 'zod';

/**
 * What requests may have in common: a prompt part with its position in the prompt,
 * or everything, as requests that are sent again do.
 */
export const sharedPartSchema = z.object({
  /** Id of the prompt part, or fingerprint of the request. */
  id: z.string(),
  /** Number of parts before it; the smallest one if it differs between requests. */
  depth: z.number().int(),
});

/** A prompt part that other requests may share, or a whole request. */
export type SharedPart = z.infer<typeof sharedPartSchema>;

/** An upstream crashed while requests waited for its answer. */
export const upstreamCrashSchema = z.object({
  kind: z.literal('crash'),
  upstreamId: z.string(),
  /** Start of the upstream in Unix milliseconds; a later start is another upstream. */
  startedAtWallMs: z.number(),
  /** Time of the crash in Unix milliseconds. */
  atMs: z.number(),
  /** Prompt parts of these requests that others may share, and their fingerprints. */
  parts: z.array(sharedPartSchema),
});

/** Some upstream answered a request with the prompt part or fingerprint. */
export const partAnswerSchema = z.object({
  kind: z.literal('answer'),
  partId: z.string(),
  /** Time of the latest such answer in Unix milliseconds. */
  atMs: z.number(),
});

/** The prompt part, or the request with the fingerprint, crashes upstreams. */
export const harmfulPartSchema = z.object({
  kind: z.literal('harmful'),
  partId: z.string(),
  /** Upstreams that crashed under the part. */
  crashes: z.number().int(),
  /** Time of the last of these crashes in Unix milliseconds. */
  lastCrashAtMs: z.number(),
});

/** What gateways tell each other about crashes, prompt parts and requests. */
export const evidenceItemSchema = z.discriminatedUnion('kind', [
  upstreamCrashSchema,
  partAnswerSchema,
  harmfulPartSchema,
]);

/** An upstream crashed while requests waited for its answer. */
export type UpstreamCrash = z.infer<typeof upstreamCrashSchema>;

/** Some upstream answered a request with the part. */
export type PartAnswer = z.infer<typeof partAnswerSchema>;

/** A prompt part or a request that crashes upstreams. */
export type HarmfulPart = z.infer<typeof harmfulPartSchema>;

/** What gateways tell each other about crashes, prompt parts and requests. */
export type EvidenceItem = z.infer<typeof evidenceItemSchema>;
