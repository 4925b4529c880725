import {z} from 'zod';

/** Schema of a lease row in the table service. */
export const leaseRowSchema = z.object({
  holderId: z.string(),
  /** Increases with each change of holder. */
  fencingToken: z.number().int().positive(),
  /** Unique for each write, so that a read shows whether a write took effect. */
  writerToken: z.string(),
});

/** Row of a lease in the table service. */
export type LeaseRow = z.infer<typeof leaseRowSchema>;

/**
 * Readings of both clocks. The monotonic clock shows the pause of a frozen
 * process, the wall clock also that of a suspended machine.
 */
export interface LeaseTime {
  monotonicMs: number;
  wallMs: number;
}

/** Row of a lease and its version, as read from the table service. */
export interface StoredLease {
  row: LeaseRow;
  version: number;
}

/** Options for createLease. */
export interface LeaseOptions {
  holderId: string;
  /** Time for which a holder may act after sending a claim or renewal. */
  durationMs: number;
  /**
   * Longest time for which an operation may be in flight after a holder has
   * sent it.
   */
  operationTimeoutMs: number;
  nextWriterToken: () => string;
  /**
   * Returns the lowest fencing token that may be issued now; 1 by default. It
   * rises when the table service was restored, so that no token of a term that
   * the restore has deleted is issued again.
   */
  minFencingToken?: () => number;
}

/** Events that a lease handles. */
export type LeaseEvent =
  | {kind: 'read'; lease: StoredLease | undefined}
  | {kind: 'readFailed'}
  /** `version` is the new version of the row, if the store returns one. */
  | {kind: 'written'; isCommitted: boolean; version?: number}
  /** The response to a write was lost; the write may have taken effect. */
  | {kind: 'writeOutcomeUnknown'}
  /** The table service was restored from a copy and has lost its last writes. */
  | {kind: 'restored'}
  | {kind: 'timePassed'};

/** Commands that the caller of a lease has to carry out and to answer by an event. */
export type LeaseCommand =
  {kind: 'read'} | {kind: 'write'; row: LeaseRow; expectedVersion: number};

/** State machine for one process's view of a lease. */
export interface Lease {
  /** Handles an event and returns the resulting commands. */
  handle(event: LeaseEvent, now: LeaseTime): LeaseCommand[];
  /**
   * Returns the fencing token if this process may act now, else undefined. Call
   * it in the same synchronous step that sends an operation.
   */
  fencingTokenAt(now: LeaseTime): number | undefined;
}
