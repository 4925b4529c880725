/** Time for which waiting connections are parsed between two polls of the event loop, in milliseconds. */
const TURN_MS = 8;

/** Processor time that one read may take before the rest of it waits, in milliseconds. */
const MAX_READ_MS = 1;

/** Processor time that a connection may have used before all that it sends waits, in milliseconds. */
const MAX_USED_MS = 20;

/** Share of a core at which what a connection has used is forgotten. */
const FORGOTTEN_SHARE = 0.1;

/** Bytes of input that may wait in a process. */
const MAX_WAITING_BYTES = 8_388_608;

/** The input of a connection, which is parsed when its turn comes. */
export interface PacedConnection {
  /** Bytes that have been read and not parsed. */
  readonly waitingBytes: number;
  /** Parses a part of them. */
  parseNext(): void;
  /** Closes it, as too much input waits in the process; it leaves its place. */
  shed(): void;
}

/** Place of a connection among those whose input is paced. */
export interface PacerPlace {
  /**
   * Whether what has been read has to wait, after a part of it was parsed for a time in
   * milliseconds.
   */
  mustWait(readMs: number): boolean;
  /** Counts time for which its input was parsed, in milliseconds. */
  recordUse(usedMs: number): void;
  /** Waits for turns until it leaves; sheds the connections that hold most if too much waits. */
  wait(): void;
  /** Gives up waiting. */
  leave(): void;
}

/**
 * Shares the processor time that is spent on parsing input among connections: those that have
 * used little are parsed at once, the others in turns, the one that has used least first.
 */
export interface InputPacer {
  open(connection: PacedConnection): PacerPlace;
  /** Returns what waits now, and the time for which input was parsed so far. */
  usage(): PacerUsage;
}

/** Use of a pacer. */
export interface PacerUsage {
  /** Connections that wait for turns. */
  waitingConnections: number;
  /** Bytes that they have read and not parsed. */
  waitingBytes: number;
  /** Time for which the input of all connections was parsed, in milliseconds. */
  parsedMs: number;
}

/** Options for `createInputPacer`. */
export interface InputPacerOptions {
  /** Bytes of input that may wait; 8 MB by default. */
  maxWaitingBytes?: number;
  /** Steady clock, in milliseconds; replaced in tests. */
  nowMs?: () => number;
  /** Calls back after the next poll of the event loop; replaced in tests. */
  schedule?: (callback: () => void) => void;
}

interface Waiter {
  connection: PacedConnection;
  usedMs: number;
  /** Time of the last change of `usedMs`. */
  atMs: number;
}

/** Creates a pacer without connections. */
export function createInputPacer({
  maxWaitingBytes = MAX_WAITING_BYTES,
  nowMs = () => performance.now(),
  schedule = setImmediate,
}: InputPacerOptions = {}): InputPacer {
  const waiting = new Set<Waiter>();
  let isScheduled = false;
  let parsedMs = 0;

  const waitingBytes = () => {
    let bytes = 0;
    for (const {connection} of waiting) bytes += connection.waitingBytes;
    return bytes;
  };
  const forget = (waiter: Waiter) => {
    const now = nowMs();
    const forgottenMs = FORGOTTEN_SHARE * (now - waiter.atMs);
    waiter.usedMs = Math.max(0, waiter.usedMs - forgottenMs);
    waiter.atMs = now;
  };
  const takeTurns = () => {
    isScheduled = false;
    const endMs = nowMs() + TURN_MS;
    while (waiting.size > 0 && nowMs() < endMs) {
      minBy(waiting, ({usedMs}) => usedMs).connection.parseNext();
    }
    scheduleTurns();
  };
  const scheduleTurns = () => {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    schedule(takeTurns);
  };
  const shedExcess = () => {
    let bytes = waitingBytes();
    while (bytes > maxWaitingBytes) {
      const {connection} = minBy(
        waiting,
        other => -other.connection.waitingBytes,
      );
      bytes -= connection.waitingBytes;
      connection.shed();
    }
  };
  return {
    open(connection) {
      const waiter: Waiter = {connection, usedMs: 0, atMs: nowMs()};
      return {
        mustWait(readMs) {
          forget(waiter);
          return readMs > MAX_READ_MS || waiter.usedMs > MAX_USED_MS;
        },
        recordUse(usedMs) {
          waiter.usedMs += usedMs;
          parsedMs += usedMs;
        },
        wait() {
          if (waiting.has(waiter)) return;
          waiting.add(waiter);
          shedExcess();
          scheduleTurns();
        },
        leave: () => void waiting.delete(waiter),
      };
    },
    usage: () => ({
      waitingConnections: waiting.size,
      waitingBytes: waitingBytes(),
      parsedMs,
    }),
  };
}

/** Pacer that all connections of a process share. */
export const processPacer = createInputPacer();

/** Returns the element of a set that is not empty with the lowest value. */
function minBy<T>(
  elements: ReadonlySet<T>,
  valueOf: (element: T) => number,
): T {
  let lowest: T | undefined;
  let lowestValue = Infinity;
  for (const element of elements) {
    const value = valueOf(element);
    if (lowest !== undefined && value >= lowestValue) continue;
    lowest = element;
    lowestValue = value;
  }
  return lowest!;
}
