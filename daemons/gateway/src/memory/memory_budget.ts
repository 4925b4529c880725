/** What bytes are held for. */
export type HeldKind =
  /** A request body of its stated size, until the end of its call. */
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
 * Memory that the process needs without any request, and the share of the rest that may be
 * held, in megabytes, while the resident memory is unknown.
 */
const PROCESS_MB = 120;
const HELD_SHARE = 0.5;

/** Smallest budget, for limits that the process itself nearly fills, in megabytes. */
const MIN_BUDGET_MB = 8;

const BYTES_PER_MB = 1_048_576;

/** Smallest budget, in bytes. */
export const MIN_BUDGET_BYTES = MIN_BUDGET_MB * BYTES_PER_MB;

/** Shares of the budget from which each step is taken. */
const STOP_READING_SHARE = 0.5;
const REFUSE_BODIES_SHARE = 0.75;
const BREAK_OFF_SHARE = 0.9;

/** Unread bytes up to which a response is read on in any case. */
const SMALL_UNREAD_BYTES = 4_096;

/** Size up to which a body is accepted in any case, in bytes. */
export const SMALL_BODY_BYTES = 16_384;

/** Bytes of an incomplete response up to which it is read on in any case. */
const SMALL_HELD_BYTES = 65_536;

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
  /** Sets the part of the request body that has not arrived. */
  setMissing(bytes: number): void;
  /**
   * Whether to read on a response that is held until it is complete. While memory is short
   * only the one that has been held longest is read, so that each completes in its turn.
   */
  mayHoldMore(): boolean;
  /** Calls back once more may be held, unless the account is closed before. */
  onceMayHoldMore(callback: () => void): void;
  /** Sets everything to nothing; later changes are ignored. */
  close(): void;
}

/** Counts what a process holds for callers and upstreams, and decides what to do at its limit. */
export interface MemoryBudget {
  /** Most bytes to hold now; Infinity without a limit. */
  readonly limitBytes: number;
  /** Bytes held in total, including bodies that have been promised room. */
  readonly heldBytes: number;
  /** Bytes held in the memory of this process. */
  readonly heldInProcessBytes: number;
  /** Resident memory by which the limit was set, in bytes; undefined if it was not. */
  readonly residentBytes: number | undefined;
  /** Changes the most bytes to hold, by the resident memory. */
  setLimit(limitBytes: number, residentBytes: number): void;
  /** Calls back whenever there may be more room; replaces an earlier callback. */
  onRoom(callback: () => void): void;
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
  /** Whether to forward a response as it arrives, rather than hold it until it is complete. */
  shouldForward(): boolean;
  /** Whether a body of a size could be taken if nothing else was held. */
  couldTakeBody(bodyBytes: number): boolean;
  /** Whether to take a body of a size, of which a part may be counted already. */
  canTakeBody(bodyBytes: number, countedBytes: number): boolean;
}

/**
 * Returns the bytes that a process may hold while its resident memory is unknown; Infinity
 * if its memory has no limit.
 */
export function heldBytesLimit(memoryLimitMb: number | undefined): number {
  if (memoryLimitMb === undefined) return Infinity;
  const availableMb = HELD_SHARE * (memoryLimitMb - PROCESS_MB);
  return Math.max(MIN_BUDGET_BYTES, availableMb * BYTES_PER_MB);
}

interface OpenAccount {
  held: HeldBytes;
  /** Part of the request body that has not arrived. */
  missingBytes: number;
  notifyMayHold: (() => void) | undefined;
  breakOff: (unreadBytes: number) => void;
}

/** Creates a budget of which nothing is used. */
export function createMemoryBudget(initialLimitBytes: number): MemoryBudget {
  /** Oldest first. */
  const accounts = new Set<OpenAccount>();
  /** Those with a large part of an incomplete response, in the order in which they began. */
  const holders = new Set<OpenAccount>();
  const sums: HeldBytes = {...NOTHING_HELD};
  let limitBytes = initialLimitBytes;
  let heldBytes = 0;
  let missingBytes = 0;
  let residentBytes: number | undefined;
  let onRoom: () => void = () => undefined;

  const set = (account: OpenAccount, kind: HeldKind, bytes: number) => {
    const change = bytes - account.held[kind];
    account.held[kind] = bytes;
    sums[kind] += change;
    heldBytes += change;
    if (kind !== 'heldResponse') return;
    if (bytes > SMALL_HELD_BYTES) holders.add(account);
    else {
      holders.delete(account);
      account.notifyMayHold = undefined;
    }
  };
  const mayHoldMore = (account: OpenAccount) => {
    if (heldBytes <= REFUSE_BODIES_SHARE * limitBytes) return true;
    const [longest] = holders;
    return account === longest || !holders.has(account);
  };
  const notifyRoom = () => {
    onRoom();
    for (const account of holders) {
      if (!mayHoldMore(account)) return;
      const notify = account.notifyMayHold;
      account.notifyMayHold = undefined;
      notify?.();
    }
  };
  const setMissing = (account: OpenAccount, bytes: number) => {
    missingBytes += bytes - account.missingBytes;
    account.missingBytes = bytes;
  };
  const close = (account: OpenAccount) => {
    if (!accounts.delete(account)) return;
    setMissing(account, 0);
    for (const kind of Object.keys(NOTHING_HELD) as HeldKind[]) {
      set(account, kind, 0);
    }
    notifyRoom();
  };
  const findMostUnread = () => {
    let most: OpenAccount | undefined;
    for (const account of accounts) {
      const {unreadResponse} = account.held;
      // Of equal ones the first is the oldest. The end of a small one frees nothing.
      const mostBytes = most?.held.unreadResponse ?? SMALL_UNREAD_BYTES;
      if (unreadResponse > mostBytes) most = account;
    }
    return most;
  };
  /** Whether what has arrived, without the missing parts of bodies, is too much. */
  const mustBreakOff = () =>
    heldBytes - missingBytes > BREAK_OFF_SHARE * limitBytes;
  const breakOffUntilBelow = () => {
    while (mustBreakOff()) {
      const account = findMostUnread();
      if (!account) return;
      const {unreadResponse} = account.held;
      close(account);
      account.breakOff(unreadResponse);
    }
  };
  return {
    get limitBytes() {
      return limitBytes;
    },
    get heldBytes() {
      return heldBytes;
    },
    get heldInProcessBytes() {
      return heldBytes - missingBytes - sums.readAhead;
    },
    get residentBytes() {
      return residentBytes;
    },
    setLimit(bytes, newResidentBytes) {
      const isMore = bytes > limitBytes;
      limitBytes = bytes;
      residentBytes = newResidentBytes;
      if (isMore) notifyRoom();
    },
    onRoom: callback => (onRoom = callback),
    heldByKind: () => ({...sums}),
    step() {
      if (mustBreakOff()) return 'breakOff';
      if (heldBytes > REFUSE_BODIES_SHARE * limitBytes) return 'refuseBodies';
      if (heldBytes > STOP_READING_SHARE * limitBytes) return 'stopReading';
      return 'none';
    },
    open(breakOff) {
      const account: OpenAccount = {
        held: {...NOTHING_HELD},
        missingBytes: 0,
        notifyMayHold: undefined,
        breakOff,
      };
      accounts.add(account);
      return {
        set(kind, bytes) {
          if (!accounts.has(account)) return;
          const isLess = bytes < account.held[kind];
          set(account, kind, bytes);
          if (isLess) notifyRoom();
          breakOffUntilBelow();
        },
        setMissing(bytes) {
          if (!accounts.has(account)) return;
          setMissing(account, bytes);
          breakOffUntilBelow();
        },
        mayHoldMore: () => mayHoldMore(account),
        onceMayHoldMore: callback => (account.notifyMayHold = callback),
        close: () => close(account),
      };
    },
    shouldStopReading: unreadBytes =>
      unreadBytes > SMALL_UNREAD_BYTES &&
      heldBytes > STOP_READING_SHARE * limitBytes,
    shouldForward: () => heldBytes > STOP_READING_SHARE * limitBytes,
    couldTakeBody: bodyBytes => bodyBytes <= REFUSE_BODIES_SHARE * limitBytes,
    canTakeBody: (bodyBytes, countedBytes) =>
      bodyBytes <= SMALL_BODY_BYTES ||
      heldBytes + bodyBytes - countedBytes <= REFUSE_BODIES_SHARE * limitBytes,
  };
}
