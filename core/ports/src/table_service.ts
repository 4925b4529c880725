import {z} from 'zod';

/**
 * A stored row. `version` rises with each write of the row: by one, or to the
 * transaction's number if the store numbers its transactions. 0 means that the
 * row does not exist.
 */
export const rowSchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number().int(),
});

/** A stored row. */
export type Row = z.infer<typeof rowSchema>;

/** One write of a transaction, with the version that the row must have. */
export const rowWriteSchema = z.object({
  key: z.string(),
  /** New value; null deletes the row. */
  value: z.string().nullable(),
  /** Version that the row must have: 0 if it must not exist, null for any version. */
  expectedVersion: z.number().int().nullable(),
});

/** One write of a transaction. */
export type RowWrite = z.infer<typeof rowWriteSchema>;

/** Version that a row must have for a transaction to commit. */
export const versionCheckSchema = z.object({
  key: z.string(),
  /** 0 if the row must not exist. */
  expectedVersion: z.number().int(),
});

/** Version that a row must have for a transaction to commit. */
export type VersionCheck = z.infer<typeof versionCheckSchema>;

/** Result of a transaction. */
export const transactionResultSchema = z.object({
  committed: z.boolean(),
  /** Version of the written rows, if the store numbers its transactions. */
  version: z.number().int().optional(),
});

/** Result of a transaction. */
export type TransactionResult = z.infer<typeof transactionResultSchema>;

/**
 * The platform's transactional table service.
 *
 * A call rejects with `STORE_UNAVAILABLE` if its outcome is unknown, so a
 * rejected transaction may have committed.
 */
export interface TableService {
  get(key: string): Promise<Row | undefined>;
  /** Returns the first `limit` rows with `fromKey <= key < toKey`, ordered by key. */
  scan(fromKey: string, toKey: string, limit: number): Promise<Row[]>;
  /**
   * Applies all writes, or none of them if a row does not have its expected
   * version.
   */
  transact(
    writes: readonly RowWrite[],
    checks?: readonly VersionCheck[],
  ): Promise<TransactionResult>;
}
