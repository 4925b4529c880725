import {z} from 'zod';

/** A stored row. `version` rises by one with each write; 0 means absent. */
export const rowSchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number().int(),
});

/** A stored row. */
export type Row = z.infer<typeof rowSchema>;

/** One write of a transaction, with the version that the row must have. */
export const writeSchema = z.object({
  key: z.string(),
  /** New value; null deletes the row. */
  value: z.string().nullable(),
  /** Version that the row must have now: 0 for absent, null for any. */
  expectedVersion: z.number().int().nullable(),
});

/** One write of a transaction. */
export type Write = z.infer<typeof writeSchema>;

/** A version that a row must have for a transaction to apply. */
export const checkSchema = z.object({
  key: z.string(),
  /** 0 for absent. */
  expectedVersion: z.number().int(),
});

/** A version that a row must have for a transaction to apply. */
export type Check = z.infer<typeof checkSchema>;

/** What became of a transaction. */
export const transactOutcomeSchema = z.object({
  committed: z.boolean(),
  /** Version of the rows that were written, where the store numbers transactions. */
  version: z.number().int().optional(),
});

/** What became of a transaction. */
export type TransactOutcome = z.infer<typeof transactOutcomeSchema>;

/**
 * The platform's transactional table service.
 *
 * Each call rejects with `STORE_UNAVAILABLE` when its outcome is not known: a
 * rejected transaction may have taken effect.
 */
export interface TableService {
  get(key: string): Promise<Row | undefined>;
  /** Rows with `fromKey <= key < toKey` in order of key. */
  scan(fromKey: string, toKey: string, limit: number): Promise<Row[]>;
  /** Applies all writes or, where a version differs, none of them. */
  transact(
    writes: readonly Write[],
    checks?: readonly Check[],
  ): Promise<TransactOutcome>;
}
