import type {
  Lease,
  LeaseCommand,
  LeaseEvent,
  LeaseOptions,
  LeaseRow,
  LeaseTime,
  ReadLease,
} from './lease_types.js';

/** Part of the duration after which a holder renews. */
const RENEWAL_SHARE = 1 / 3;

interface PendingWrite {
  row: LeaseRow;
  expectedVersion: number;
  sentAt: LeaseTime;
}

interface HeldTerm {
  row: LeaseRow;
  version: number;
  /** When the last successful claim or renewal was sent. */
  renewedAt: LeaseTime;
}

interface Observation {
  lease: ReadLease | undefined;
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
 * Makes one process's view of a lease.
 *
 * A holder's term counts from before its write was sent. A claimant waits until
 * the row has not changed for the term and the longest order timeout.
 */
export function createLease(options: LeaseOptions): Lease {
  let term: HeldTerm | undefined;
  let observation: Observation | undefined;
  let pending: PendingWrite | undefined;
  /** Whether the answer to the pending write was lost. */
  let isUncertain = false;
  let isReading = false;

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
    pending = {row, expectedVersion, sentAt};
    isUncertain = false;
    return [{kind: 'write', row, expectedVersion}];
  };
  const hold = (
    {row, expectedVersion, sentAt}: PendingWrite,
    version = expectedVersion + 1,
  ) => {
    term = {row, version, renewedAt: sentAt};
    observation = undefined;
  };
  const loseTerm = () => {
    term = undefined;
    observation = undefined;
  };
  const isWithin = (since: LeaseTime, now: LeaseTime, limitMs: number) =>
    now.monotonicMs - since.monotonicMs < limitMs &&
    now.wallMs - since.wallMs < limitMs;

  const observe = (
    lease: ReadLease | undefined,
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
    if (!lease) return write(1, 0, now);
    const waitedMs = now.monotonicMs - firstSeenAt.monotonicMs;
    if (waitedMs < options.durationMs + options.orderTimeoutMs) return [];
    return write(lease.row.fencingToken + 1, lease.version, now);
  };
  const renewIfDue = (held: HeldTerm, now: LeaseTime): LeaseCommand[] => {
    const renewalMs = options.durationMs * RENEWAL_SHARE;
    if (isWithin(held.renewedAt, now, renewalMs)) return [];
    return write(held.row.fencingToken, held.version, now);
  };
  /** Settles a write whose answer was lost by what the row holds now. */
  const settle = (
    write: PendingWrite,
    lease: ReadLease | undefined,
    now: LeaseTime,
  ): LeaseCommand[] => {
    pending = undefined;
    if (lease?.row.writerToken === write.row.writerToken) {
      hold(write, lease.version);
      return [];
    }
    const isOwnTerm = term && lease?.row.writerToken === term.row.writerToken;
    if (isOwnTerm) return [];
    loseTerm();
    return observe(lease, now);
  };

  const handlers: EventHandlers = {
    read({lease}, now) {
      isReading = false;
      if (pending) return isUncertain ? settle(pending, lease, now) : [];
      if (!term) return observe(lease, now);
      if (lease?.version !== term.version) {
        loseTerm();
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
      if (isCommitted) {
        hold(write, version);
        return [];
      }
      loseTerm();
      return read();
    },
    writeUnknown() {
      isUncertain = true;
      return read();
    },
    timePassed(_event, now) {
      if (pending) return isUncertain ? read() : [];
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
