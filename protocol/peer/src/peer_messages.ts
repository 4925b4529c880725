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

/** Header that names the asker's fleet; addresses may come to belong to another one. */
export const FLEET_HEADER = 'sardinestile-fleet';

/** Path of the question for the configuration; `?have=VERSION`. */
export const CONFIG_PATH = '/peer/configuration';

/** Path to which counts are posted. */
export const USAGE_PATH = '/peer/usage';
