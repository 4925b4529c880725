import type {PromptPart} from '@sardinestile/ports';
import {z} from 'zod';

/** An address of a host name or an IPv4 address, with the port as a group. */
const ADDRESS_PATTERN = /^[\w.-]+:(\d{1,5})$/;

/** Schema of an address in the form `host:port` to which a connection can be opened. */
export const upstreamAddressSchema = z.string().refine(address => {
  const port = Number(ADDRESS_PATTERN.exec(address)?.[1]);
  return port >= 1 && port <= 65_535 && URL.canParse(`http://${address}`);
}, 'not an address in the form host:port');

/** Schema of UpstreamRecord. */
export const upstreamRecordSchema = z.object({
  /** Usually unique for each start of the upstream. */
  id: z.string(),
  service: z.string(),
  /** In the form `host:port`. */
  address: upstreamAddressSchema,
  availabilityZone: z.string(),
  /** Number of slots: requests that the upstream runs concurrently. */
  places: z.number().int().positive(),
  /** Whether it is draining, so that it takes no new requests. */
  isLeaving: z.boolean(),
  /**
   * Remaining time for which it is cold, as of the registration; absent if the
   * registration contains no valid one.
   */
  coldMs: z.number().optional(),
  /**
   * Wall-clock time of its start, as a Unix time in milliseconds; 0 if unknown.
   */
  startedAtWallMs: z.number(),
  /**
   * Version of its software; absent if it is unknown. Versions are equal or not, they
   * have no order.
   */
  softwareVersion: z.string().optional(),
});

/** Registration of one upstream. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;

/** Request that needs an upstream, with the targets of its caller. */
export interface PlacementRequest {
  requestId: string;
  service: string;
  promptTokens: number;
  promptParts: readonly PromptPart[];
  /** Rank in the queue of an upstream; 0 is the most urgent. */
  urgency: number;
  /** Target time to the first event. */
  targetLatencyMs: number;
  /** Target gap between events; absent unless the response is a stream. */
  targetGapMs?: number;
  /** Ids of the upstreams that the request was sent to already. */
  triedUpstreamIds: ReadonlySet<string>;
  /** Software version that began the stream and has to go on with it; absent for any. */
  softwareVersion?: string;
}

/** Request that was placed at an upstream by this gateway or a peer. */
export interface PlacedRequest {
  requestId: string;
  upstreamId: string;
  promptParts: readonly PromptPart[];
  /** Prompt tokens that the engine has to prefill. */
  uncachedTokens: number;
  /** Prompt tokens of all parts together. */
  promptTokens: number;
  urgency: number;
  targetGapMs?: number;
}
