import {z} from 'zod';

/** A lease as the table service keeps it. */
export const leaseRowSchema = z.object({
  holderId: z.string(),
  /** Rises with each change of holder. */
  fencingToken: z.number().int().positive(),
  /** Identifies the write, so that its outcome can be settled by reading back. */
  writerToken: z.string(),
});

/** A lease as the table service keeps it. */
export type LeaseRow = z.infer<typeof leaseRowSchema>;

/** Both clocks of a process: a frozen process and a suspended machine move different ones. */
export interface LeaseTime {
  monotonicMs: number;
  wallMs: number;
}

/** The row as it was read. */
export interface ReadLease {
  row: LeaseRow;
  version: number;
}

/** What is kept of a lease. */
export interface LeaseOptions {
  holderId: string;
  /** Time for which a holder may act after it sent a claim or renewal. */
  durationMs: number;
  /** Longest time that an order of a holder may still be on its way. */
  orderTimeoutMs: number;
  nextWriterToken: () => string;
}

/** Something that happened to a lease. */
export type LeaseEvent =
  | {kind: 'read'; lease: ReadLease | undefined}
  | {kind: 'readFailed'}
  /** `version` is the row's new one, where the store numbers transactions. */
  | {kind: 'written'; isCommitted: boolean; version?: number}
  /** The answer to a write was lost; it may have taken effect. */
  | {kind: 'writeUnknown'}
  | {kind: 'timePassed'};

/** What the owner of a lease has to do; each is answered by an event. */
export type LeaseCommand =
  {kind: 'read'} | {kind: 'write'; row: LeaseRow; expectedVersion: number};

/** One process's view of one lease. */
export interface Lease {
  handle(event: LeaseEvent, now: LeaseTime): LeaseCommand[];
  /**
   * The fencing token if this process may act now; undefined otherwise. To be
   * asked in the same synchronous step that sends an order.
   */
  fencingTokenAt(now: LeaseTime): number | undefined;
}
