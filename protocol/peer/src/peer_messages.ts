import {upstreamRecordSchema} from '@sardinestile/fleet';
import {routeTableSchema} from '@sardinestile/route_table';
import {usageSumsSchema} from '@sardinestile/usage';
import {z} from 'zod';

/** What a gateway knows of the configuration. */
export const configProofSchema = z.object({
  version: z.number().int(),
  /** Age of the proof that this version is the newest, when it was sent. */
  ageMs: z.number().nonnegative(),
  /** The version itself, where the asker has another. */
  table: routeTableSchema.optional(),
});

/** What a gateway knows of the configuration. */
export type ConfigProof = z.infer<typeof configProofSchema>;

/** Counts of one source for one window, to be stored for it. */
export const relayedUsageSchema = z.object({
  source: z.string(),
  windowId: z.string(),
  sums: usageSumsSchema,
});

/** Counts of one source for one window, to be stored for it. */
export type RelayedUsage = z.infer<typeof relayedUsageSchema>;

/** What a gateway that reads the upstreams from the store tells of them. */
export const upstreamCopySchema = z.object({
  /** Tells the gateway's process from an earlier one. */
  epoch: z.string(),
  /** Position in that process's changes. */
  position: z.number().int(),
  /** Version of the store that the upstreams are of. */
  version: z.number().int(),
  /** Whether these are all upstreams rather than those that changed. */
  isWhole: z.boolean(),
  changed: z.array(upstreamRecordSchema).readonly(),
  removedKeys: z.array(z.string()).readonly(),
  /** Whether some upstreams are kept although the store no longer has them. */
  hasLapsed: z.boolean(),
  /** Age of the proof that nothing else is new, when it was sent. */
  ageMs: z.number().nonnegative(),
});

/** What a gateway that reads the upstreams from the store tells of them. */
export type UpstreamCopy = z.infer<typeof upstreamCopySchema>;

/** Header that names the asker's fleet; addresses may come to belong to another one. */
export const FLEET_HEADER = 'sardinestile-fleet';

/** Path of the question for the configuration; `?have=VERSION`. */
export const CONFIG_PATH = '/peer/configuration';

/** Path of the question for the upstreams; `?version=N&epoch=EPOCH&position=N&waitMs=N`. */
export const UPSTREAMS_PATH = '/peer/upstreams';

/** Path to which counts are posted. */
export const USAGE_PATH = '/peer/usage';
