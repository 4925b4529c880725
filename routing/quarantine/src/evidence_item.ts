import {z} from 'zod';

/** A prompt part that other requests may share, with its position in the prompt. */
export const sharedPartSchema = z.object({
  id: z.string(),
  /** Number of parts before it; the smallest one if it differs between requests. */
  depth: z.number().int(),
});

/** A prompt part that other requests may share, with its position in the prompt. */
export type SharedPart = z.infer<typeof sharedPartSchema>;

/** An upstream crashed while requests waited for its answer. */
export const upstreamCrashSchema = z.object({
  kind: z.literal('crash'),
  upstreamId: z.string(),
  /** Start of the upstream in Unix milliseconds; a later start is another upstream. */
  startedAtWallMs: z.number(),
  /** Time of the crash in Unix milliseconds. */
  atMs: z.number(),
  /** Prompt parts of these requests, without the parts that are theirs alone. */
  parts: z.array(sharedPartSchema),
});

/** Some upstream answered a request with the part. */
export const partAnswerSchema = z.object({
  kind: z.literal('answer'),
  partId: z.string(),
  /** Time of the latest such answer in Unix milliseconds. */
  atMs: z.number(),
});

/** The part crashes upstreams. */
export const harmfulPartSchema = z.object({
  kind: z.literal('harmful'),
  partId: z.string(),
  /** Upstreams that crashed under the part. */
  crashes: z.number().int(),
  /** Time of the last of these crashes in Unix milliseconds. */
  lastCrashAtMs: z.number(),
});

/** What gateways tell each other about crashes and prompt parts. */
export const evidenceItemSchema = z.discriminatedUnion('kind', [
  upstreamCrashSchema,
  partAnswerSchema,
  harmfulPartSchema,
]);

/** An upstream crashed while requests waited for its answer. */
export type UpstreamCrash = z.infer<typeof upstreamCrashSchema>;

/** Some upstream answered a request with the part. */
export type PartAnswer = z.infer<typeof partAnswerSchema>;

/** The part crashes upstreams. */
export type HarmfulPart = z.infer<typeof harmfulPartSchema>;

/** What gateways tell each other about crashes and prompt parts. */
export type EvidenceItem = z.infer<typeof evidenceItemSchema>;
