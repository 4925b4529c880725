import type {
  Lease,
  LeaseCommand,
  LeaseEvent,
  LeaseOptions,
  LeaseRow,
  LeaseTime,
  StoredLease,
} from './lease_types.js';

/** Part of the duration after which a holder renews its lease. */
const RENEWAL_SHARE = 1 / 3;

interface PendingWrite {
  row: LeaseRow;
  expectedVersion: number;
  sentAt: LeaseTime;
  /**
   * Whether the table service was restored meanwhile. The row may then exist
   * without the claim, and another process may have got the same token.
   */
  isOutdated: boolean;
}

interface HeldTerm {
  row: LeaseRow;
  version: number;
  /** Time at which the last successful claim or renewal was sent. */
  renewedAt: LeaseTime;
}

interface Observation {
  lease: StoredLease | undefined;
  firstSeenAt: LeaseTime;
}

type EventKind = LeaseEvent['kind'];
type EventHandlers = {
  [K in EventKind]: (
    event: Extract<LeaseEvent, {kind: K}>,
    now: LeaseTime,
  ) => LeaseCommand[];
};

/**
 * Creates one process's view of a lease.
 *
 * A holder's term starts when its write is sent, not when the response arrives.
 * Another process claims the lease only when the row has not changed for the
 * duration of the lease plus the operation timeout, so that no operation of the
 * old holder is still in flight.
 *
 * After a restore of the table service every term of this process ends, and all
 * claims wait in the same way, also for a row that the restore has deleted: its
 * holder may not have noticed yet.
 */
export function createLease(options: LeaseOptions): Lease {
  let term: HeldTerm | undefined;
  let observation: Observation | undefined;
  let pending: PendingWrite | undefined;
  /** Whether the pending write failed without a clear outcome. */
  let isOutcomeUnknown = false;
  let isReading = false;
  let hasBeenRestored = false;

  const read = (): LeaseCommand[] => {
    if (isReading) return [];
    isReading = true;
    return [{kind: 'read'}];
  };
  const write = (
    fencingToken: number,
    expectedVersion: number,
    sentAt: LeaseTime,
  ): LeaseCommand[] => {
    const {holderId} = options;
    const writerToken = options.nextWriterToken();
    const row = {holderId, fencingToken, writerToken};
    pending = {row, expectedVersion, sentAt, isOutdated: false};
    isOutcomeUnknown = false;
    return [{kind: 'write', row, expectedVersion}];
  };
  const startTerm = (
    {row, expectedVersion, sentAt}: PendingWrite,
    version = expectedVersion + 1,
  ) => {
    term = {row, version, renewedAt: sentAt};
    observation = undefined;
  };
  const endTerm = () => {
    term = undefined;
    observation = undefined;
  };
  const isWithin = (since: LeaseTime, now: LeaseTime, limitMs: number) =>
    now.monotonicMs - since.monotonicMs < limitMs &&
    now.wallMs - since.wallMs < limitMs;

  const observe = (
    lease: StoredLease | undefined,
    now: LeaseTime,
  ): LeaseCommand[] => {
    const isUnchanged =
      observation !== undefined &&
      observation.lease?.version === lease?.version;
    if (!isUnchanged) observation = {lease, firstSeenAt: now};
    return claimIfFree(now);
  };
  const claimIfFree = (now: LeaseTime): LeaseCommand[] => {
    if (!observation) return [];
    const {lease, firstSeenAt} = observation;
    const waitedMs = now.monotonicMs - firstSeenAt.monotonicMs;
    const mustWait = lease !== undefined || hasBeenRestored;
    if (
      mustWait &&
      waitedMs < options.durationMs + options.operationTimeoutMs
    ) {
      return [];
    }
    const fencingToken = Math.max(
      (lease?.row.fencingToken ?? 0) + 1,
      options.minFencingToken?.() ?? 1,
    );
    return write(fencingToken, lease?.version ?? 0, now);
  };
  const renewIfDue = (held: HeldTerm, now: LeaseTime): LeaseCommand[] => {
    const renewalMs = options.durationMs * RENEWAL_SHARE;
    if (isWithin(held.renewedAt, now, renewalMs)) return [];
    return write(held.row.fencingToken, held.version, now);
  };
  /** Decides by the current row whether a write with an unknown outcome took effect. */
  const resolve = (
    write: PendingWrite,
    lease: StoredLease | undefined,
    now: LeaseTime,
  ): LeaseCommand[] => {
    pending = undefined;
    const isOwnWrite = lease?.row.writerToken === write.row.writerToken;
    if (lease && isOwnWrite && !write.isOutdated) {
      startTerm(write, lease.version);
      return [];
    }
    const isOwnTerm = term && lease?.row.writerToken === term.row.writerToken;
    if (isOwnTerm) return [];
    endTerm();
    return observe(lease, now);
  };

  const handlers: EventHandlers = {
    read({lease}, now) {
      isReading = false;
      if (pending) return isOutcomeUnknown ? resolve(pending, lease, now) : [];
      if (!term) return observe(lease, now);
      if (lease?.version !== term.version) {
        endTerm();
        return observe(lease, now);
      }
      return [];
    },
    readFailed() {
      isReading = false;
      return [];
    },
    written({isCommitted, version}) {
      const write = pending;
      if (!write) return [];
      pending = undefined;
      if (isCommitted && !write.isOutdated) {
        startTerm(write, version);
        return [];
      }
      endTerm();
      return read();
    },
    writeOutcomeUnknown() {
      isOutcomeUnknown = true;
      return read();
    },
    restored() {
      hasBeenRestored = true;
      endTerm();
      if (pending) pending.isOutdated = true;
      return [];
    },
    timePassed(_event, now) {
      if (pending) return isOutcomeUnknown ? read() : [];
      return term ? renewIfDue(term, now) : read();
    },
  };

  return {
    handle: (event, now) =>
      (
        handlers[event.kind] as (
          event: LeaseEvent,
          now: LeaseTime,
        ) => LeaseCommand[]
      )(event, now),
    fencingTokenAt(now) {
      if (!term) return undefined;
      const isValid = isWithin(term.renewedAt, now, options.durationMs);
      return isValid ? term.row.fencingToken : undefined;
    },
  };
}
