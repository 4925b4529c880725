import type {PromptPart} from '@sardinestile/ports';
import {z} from 'zod';

/** What an upstream registered of itself. */
export const upstreamRecordSchema = z.object({
  /** Unique for each start, as a rule. */
  id: z.string(),
  service: z.string(),
  /** `host:port`. */
  address: z.string(),
  availabilityZone: z.string(),
  /** Requests that it runs at once. */
  places: z.number(),
  isLeaving: z.boolean(),
  /** How much longer it is slow after its start. */
  coldMs: z.number(),
  /** Unix millisecond of its start; 0 if unknown. */
  startedAtWallMs: z.number(),
});

/** What an upstream registered of itself. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;

/** What placement knows of a request. */
export interface PlacementRequest {
  service: string;
  promptTokens: number;
  promptParts: readonly PromptPart[];
  /** 0 is first. */
  urgency: number;
  /** Time to the first event that the caller wants. */
  targetLatencyMs: number;
  /** Gap between events that the caller wants; absent unless it is a stream. */
  targetGapMs?: number;
  /** Upstreams that the request was sent to already. */
  triedIds: ReadonlySet<string>;
}

/** A request that some gateway placed. */
export interface PlacedRequest {
  requestId: string;
  upstreamId: string;
  promptParts: readonly PromptPart[];
  /** Prompt tokens that the engine has to read. */
  unreadTokens: number;
  /** Tokens of all parts. */
  promptTokens: number;
  urgency: number;
  targetGapMs?: number;
}
