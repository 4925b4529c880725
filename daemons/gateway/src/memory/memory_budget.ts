/** What bytes are held for. */
export type HeldKind =
  /** A request body, until the end of its call. */
  | 'requestBody'
  /** A response, or part of an event, that is held until it is complete. */
  | 'heldResponse'
  /** A response that was read and that the caller has not taken. */
  | 'unreadResponse'
  /** Data that was read ahead on a connection that is not read at present. */
  | 'readAhead';

/** Bytes by what they are held for. */
export type HeldBytes = Record<HeldKind, number>;

const NOTHING_HELD: Readonly<HeldBytes> = {
  requestBody: 0,
  heldResponse: 0,
  unreadResponse: 0,
  readAhead: 0,
};

/**
 * Memory that the process needs without any request, in megabytes. A gateway with its
 * loader and the stand-ins of the tests in one process had 149 MB after 180 streams.
 */
const PROCESS_MB = 120;

/**
 * Share of the rest that may be held. The other half is for the objects of requests
 * and for garbage that has not been collected.
 */
const HELD_SHARE = 0.5;

/** Smallest budget, for limits that the process itself nearly fills, in megabytes. */
const MIN_BUDGET_MB = 8;

const BYTES_PER_MB = 1_048_576;

/** Shares of the budget from which each step is taken. */
const STOP_READING_SHARE = 0.5;
const REFUSE_BODIES_SHARE = 0.75;
const BREAK_OFF_SHARE = 0.9;

/** Unread bytes up to which a response is read on in any case. */
const SMALL_UNREAD_BYTES = 4_096;

/** Size up to which a body is accepted in any case, in bytes. */
const SMALL_BODY_BYTES = 16_384;

/** Steps under memory pressure, in the order in which they are taken. */
export const MEMORY_STEPS = [
  'none',
  'stopReading',
  'refuseBodies',
  'breakOff',
] as const;

/** A step under memory pressure; it includes those before it. */
export type MemoryStep = (typeof MEMORY_STEPS)[number];

/** What is held for one request and its response. */
export interface MemoryAccount {
  /** Sets the bytes that are held for a purpose. */
  set(kind: HeldKind, bytes: number): void;
  /** Sets everything to nothing; later changes are ignored. */
  close(): void;
}

/** Counts what a process holds for callers and upstreams, and decides what to do at its limit. */
export interface MemoryBudget {
  /** Most bytes to hold; Infinity without a limit. */
  readonly limitBytes: number;
  /** Bytes held in total. */
  readonly heldBytes: number;
  /** Returns the bytes held, by purpose. */
  heldByKind(): Readonly<HeldBytes>;
  /** Returns the last step that applies now. */
  step(): MemoryStep;
  /**
   * Opens the account of a request. `breakOff` has to end its response at once; it is
   * called at most once, with the bytes that the caller had not taken.
   */
  open(breakOff: (unreadBytes: number) => void): MemoryAccount;
  /** Whether to read no more of a response until its caller has taken the unread bytes. */
  shouldStopReading(unreadBytes: number): boolean;
  /** Whether to take a body of a size, of which a part may be counted already. */
  canTakeBody(bodyBytes: number, countedBytes: number): boolean;
}

/** Returns the bytes that a process may hold; Infinity if its memory has no limit. */
export function heldBytesLimit(memoryLimitMb: number | undefined): number {
  if (memoryLimitMb === undefined) return Infinity;
  const availableMb = HELD_SHARE * (memoryLimitMb - PROCESS_MB);
  return Math.max(MIN_BUDGET_MB, availableMb) * BYTES_PER_MB;
}

interface OpenAccount {
  held: HeldBytes;
  breakOff: (unreadBytes: number) => void;
}

/** Creates a budget of which nothing is used. */
export function createMemoryBudget(limitBytes: number): MemoryBudget {
  /** Oldest first. */
  const accounts = new Set<OpenAccount>();
  const sums: HeldBytes = {...NOTHING_HELD};
  let heldBytes = 0;

  const set = (account: OpenAccount, kind: HeldKind, bytes: number) => {
    const change = bytes - account.held[kind];
    account.held[kind] = bytes;
    sums[kind] += change;
    heldBytes += change;
  };
  const close = (account: OpenAccount) => {
    if (!accounts.delete(account)) return;
    for (const kind of Object.keys(NOTHING_HELD) as HeldKind[]) {
      set(account, kind, 0);
    }
  };
  const findMostUnread = () => {
    let most: OpenAccount | undefined;
    for (const account of accounts) {
      const {unreadResponse} = account.held;
      // Of equal ones the first is the oldest.
      if (unreadResponse > (most?.held.unreadResponse ?? 0)) most = account;
    }
    return most;
  };
  const breakOffUntilBelow = (maxBytes: number) => {
    while (heldBytes > maxBytes) {
      const account = findMostUnread();
      if (!account) return;
      const {unreadResponse} = account.held;
      close(account);
      account.breakOff(unreadResponse);
    }
  };
  return {
    limitBytes,
    get heldBytes() {
      return heldBytes;
    },
    heldByKind: () => ({...sums}),
    step() {
      if (heldBytes > BREAK_OFF_SHARE * limitBytes) return 'breakOff';
      if (heldBytes > REFUSE_BODIES_SHARE * limitBytes) return 'refuseBodies';
      if (heldBytes > STOP_READING_SHARE * limitBytes) return 'stopReading';
      return 'none';
    },
    open(breakOff) {
      const account: OpenAccount = {held: {...NOTHING_HELD}, breakOff};
      accounts.add(account);
      return {
        set(kind, bytes) {
          if (!accounts.has(account)) return;
          set(account, kind, bytes);
          breakOffUntilBelow(BREAK_OFF_SHARE * limitBytes);
        },
        close: () => close(account),
      };
    },
    shouldStopReading: unreadBytes =>
      unreadBytes > SMALL_UNREAD_BYTES &&
      heldBytes > STOP_READING_SHARE * limitBytes,
    canTakeBody: (bodyBytes, countedBytes) =>
      bodyBytes <= SMALL_BODY_BYTES ||
      heldBytes + bodyBytes - countedBytes <= REFUSE_BODIES_SHARE * limitBytes,
  };
}
