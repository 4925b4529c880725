import {upstreamRecordSchema} from '@sardinestile/fleet';
import {routeTableSchema, zoneListSchema} from '@sardinestile/route_table';
import {usageReportSchema} from '@sardinestile/shares';
import {listOf} from '@sardinestile/types';
import {usageSumsSchema} from '@sardinestile/usage';
import {z} from 'zod';

/**
 * Newest configuration version that a gateway knows, with the age of the last
 * confirmation.
 */
export const confirmedConfigSchema = z.object({
  version: z.number().int(),
  /**
   * Time between the last confirmation that this version is the newest and the
   * sending of this message.
   */
  ageMs: z.number().nonnegative(),
  /**
   * Store version up to which the gateway has read the configuration; absent
   * if it has not read it yet.
   */
  storeVersion: z.number().int().optional(),
  /** The configuration itself; absent if the requester already has this version. */
  table: routeTableSchema.optional(),
  /**
   * States of the availability zones; absent if the gateway has not read them yet, or if
   * its build does not know them.
   */
  zones: zoneListSchema.optional(),
});

/**
 * Newest configuration version that a gateway knows, with the age of the last
 * confirmation.
 */
export type ConfirmedConfig = z.infer<typeof confirmedConfigSchema>;

/**
 * Usage counts of one source in one window, which the receiving gateway stores
 * for the sender.
 */
export const relayedUsageSchema = z.object({
  source: z.string(),
  windowId: z.string(),
  sums: usageSumsSchema,
});

/**
 * Usage counts of one source in one window, which the receiving gateway stores
 * for the sender.
 */
export type RelayedUsage = z.infer<typeof relayedUsageSchema>;

/**
 * Changes to the list of upstreams, served by a gateway that reads the list
 * from the store.
 */
export const upstreamChangesSchema = z.object({
  /**
   * Identifies one run of the serving process; positions are valid within one
   * epoch only.
   */
  epoch: z.string(),
  /** Position in the change log of that process. */
  position: z.number().int(),
  /** Store version at which the upstreams were read. */
  version: z.number().int(),
  /** Whether `changed` lists all upstreams rather than only those that changed. */
  isWhole: z.boolean(),
  changed: listOf(upstreamRecordSchema).readonly(),
  removedKeys: listOf(z.string()).readonly(),
  /** Whether the serving gateway keeps upstreams that the store no longer has. */
  hasLapsed: z.boolean(),
  /**
   * Time between the last confirmation that these changes are complete and the
   * sending of this message.
   */
  ageMs: z.number().nonnegative(),
});

/**
 * Changes to the list of upstreams, served by a gateway that reads the list
 * from the store.
 */
export type UpstreamChanges = z.infer<typeof upstreamChangesSchema>;

/** Prompt parts that engines have in their caches, as a gateway knows them. */
export const cachedPartsSchema = z.object({
  upstreams: listOf(
    z.object({
      upstreamId: z.string(),
      /** Id and tokens of each part; arrays, since traffic is billed by the byte. */
      parts: listOf(z.tuple([z.string(), z.number().nonnegative()])),
    }),
  ),
});

/** Prompt parts that engines have in their caches, as a gateway knows them. */
export type CachedParts = z.infer<typeof cachedPartsSchema>;

/** Service and software version at which a stream has to go on, as a gateway remembers them. */
export const streamVersionSchema = z.object({
  softwareVersion: z.string(),
  /** Absent if the gateway's build does not state it. */
  service: z.string().optional(),
  /** Time since the gateway recorded it; absent if its build does not state it. */
  ageMs: z.number().nonnegative().optional(),
});

/** Service and software version at which a stream has to go on, as a gateway remembers them. */
export type StreamVersion = z.infer<typeof streamVersionSchema>;

/** What organisations asked for and were given at the gateways of one group. */
export const groupUsageSchema = z.object({
  /** Number of the group. */
  group: z.number().int().nonnegative(),
  reports: listOf(usageReportSchema),
});

/** What organisations asked for and were given at the gateways of one group. */
export type GroupUsage = z.infer<typeof groupUsageSchema>;

/**
 * Header with the requester's fleet; checked because an address may be
 * reassigned to another fleet.
 */
export const FLEET_HEADER = 'sardinestile-fleet';

/**
 * Path that returns the configuration; `?have=VERSION&waitMs=N` is the version
 * that the requester has and the time to wait for another one.
 */
export const CONFIG_PATH = '/peer/configuration';

/**
 * Path that returns changes to the upstreams;
 * `?version=N&epoch=EPOCH&position=N&waitMs=N`.
 */
export const UPSTREAMS_PATH = '/peer/upstreams';

/** Path that returns the cached prompt parts by GET and accepts some by POST. */
export const CACHED_PARTS_PATH = '/peer/cached-parts';

/** Path that returns the service and the version of a stream; `?request=ID`. */
export const STREAM_VERSION_PATH = '/peer/stream-version';

/** Path that accepts usage counts by POST. */
export const USAGE_PATH = '/peer/usage';

/** Path that accepts the usage of another group by POST. */
export const GROUP_USAGE_PATH = '/peer/group-usage';
