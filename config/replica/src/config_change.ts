import {z} from 'zod';

/** Schema of a stored API key. Only a hash of the secret is stored. */
export const keyRecordSchema = z.object({
  keyId: z.string(),
  organisation: z.string(),
  /** SHA-256 of the secret, in hexadecimal. */
  secretHash: z.string(),
});

/** A stored API key, with a hash in place of its secret. */
export type KeyRecord = z.infer<typeof keyRecordSchema>;

const commonFields = {
  /** Version of the configuration that this change creates. */
  version: z.number().int().positive(),
  /**
   * Unique for each write. A writer that received no response reads the row back
   * and compares this token to learn whether its own write was stored.
   */
  writerToken: z.string(),
  /** Unix milliseconds at which the writer created the change. */
  acceptedAtMs: z.number(),
};

/** Schema of one stored change to the configuration. */
export const configChangeSchema = z.discriminatedUnion('kind', [
  z.object({
    ...commonFields,
    kind: z.literal('textEdited'),
    /** Index of the first replaced line; starts at 0. */
    startLine: z.number().int().nonnegative(),
    deleteCount: z.number().int().nonnegative(),
    lines: z.array(z.string()),
  }),
  z.object({
    ...commonFields,
    kind: z.literal('keyGranted'),
    key: keyRecordSchema,
  }),
  z.object({
    ...commonFields,
    kind: z.literal('keyWithdrawn'),
    keyId: z.string(),
  }),
  z.object({
    ...commonFields,
    kind: z.literal('drainSet'),
    upstream: z.string(),
    isDraining: z.boolean(),
  }),
]);

/** One stored change to the configuration. */
export type ConfigChange = z.infer<typeof configChangeSchema>;

/** Schema of the complete configuration at one version. */
export const configSnapshotSchema = z.object({
  version: z.number().int().nonnegative(),
  text: z.string(),
  keys: z.array(keyRecordSchema),
  /** Ids of the upstreams that receive no new requests. */
  draining: z.array(z.string()),
});

/** The complete configuration at one version. */
export type ConfigSnapshot = z.infer<typeof configSnapshotSchema>;
