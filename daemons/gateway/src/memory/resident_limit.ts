import {
  MIN_BUDGET_BYTES,
  type MemoryBudget,
  type MemoryStep,
} from './memory_budget.js';

const BYTES_PER_MB = 1_048_576;

/** Dropped buffers that may wait for the collector of buffers. */
const GARBAGE_BYTES = 8 * BYTES_PER_MB;

/** Share of the limit for what the system has received of bodies that wait for room. */
const WAITING_SHARE = 1 / 32;

/** Bytes that are read between two readings of the resident memory. */
const REFRESH_AFTER_BYTES = 4 * BYTES_PER_MB;

/** Shortest time between two collections of the whole heap, in milliseconds. */
const COLLECT_INTERVAL_MS = 1_000;

/** Growth beyond what was held since the last collection from which another one is worth its time. */
const COLLECT_AFTER_GROWTH_BYTES = 8 * BYTES_PER_MB;

/** Time with few bytes read after which a load counts as over, in milliseconds. */
const QUIET_MS = 1_000;

/** Bytes that are read within that time at most. */
const QUIET_BYTES = BYTES_PER_MB;

/** Steps at which memory is short enough for a collection of the whole heap. */
const SHORT_STEPS: ReadonlySet<MemoryStep> = new Set([
  'refuseBodies',
  'breakOff',
]);

/** Sets the limit of a budget by the resident memory of the process. */
export interface ResidentLimit {
  /** Sets the limit by the resident memory; called at intervals. */
  refresh(): void;
  /** Counts bytes that the process read, so that the limit follows at any speed. */
  recordRead(bytes: number): void;
}

/** Options for createResidentLimit. */
export interface ResidentLimitOptions {
  /** Resident memory above which the process is killed, in bytes. */
  memoryLimitBytes: number;
  budget: MemoryBudget;
  /** Returns the resident memory, in bytes; undefined if it is unknown. */
  readResidentBytes: () => number | undefined;
  /** Collects the whole heap. */
  collectAll: () => void;
  nowMs: () => number;
}

/** Returns the bytes that the system may have received of bodies that wait for room. */
export function waitingBytesLimit(memoryLimitBytes: number): number {
  return WAITING_SHARE * memoryLimitBytes;
}

/**
 * Creates a limit that leaves what the process takes beside the held bytes: its heap, garbage
 * and what the allocator keeps. The whole heap is collected before the limit comes close to the
 * held bytes, and once after a load.
 */
export function createResidentLimit({
  memoryLimitBytes,
  budget,
  readResidentBytes,
  collectAll,
  nowMs,
}: ResidentLimitOptions): ResidentLimit {
  const reservedBytes =
    GARBAGE_BYTES + REFRESH_AFTER_BYTES + waitingBytesLimit(memoryLimitBytes);
  let unseenBytes = 0;
  /** Memory of the process beside what it holds, now and after the last collection. */
  let ownBytes = 0;
  let collectedOwnBytes = 0;
  let collectedAtMs = -Infinity;
  /** Bytes that were read since a load was last over. */
  let loadBytes = 0;
  let quietBytes = 0;
  let quietSinceMs = nowMs();

  const setLimit = () => {
    const residentBytes = readResidentBytes();
    if (residentBytes === undefined) return;
    ownBytes = residentBytes - budget.heldInProcessBytes;
    const limitBytes = memoryLimitBytes - reservedBytes - ownBytes;
    budget.setLimit(Math.max(MIN_BUDGET_BYTES, limitBytes), residentBytes);
  };
  const collect = () => {
    const isWorthwhile =
      ownBytes - collectedOwnBytes >= COLLECT_AFTER_GROWTH_BYTES &&
      nowMs() - collectedAtMs >= COLLECT_INTERVAL_MS;
    if (!isWorthwhile) return;
    collectAll();
    collectedAtMs = nowMs();
    setLimit();
    collectedOwnBytes = ownBytes;
  };
  const follow = () => {
    unseenBytes = 0;
    setLimit();
    if (SHORT_STEPS.has(budget.step())) collect();
  };
  /** Collects what a load has left behind, as the process itself does not while it is idle. */
  const collectAfterLoad = () => {
    if (quietBytes > QUIET_BYTES) {
      quietBytes = 0;
      quietSinceMs = nowMs();
      return;
    }
    if (nowMs() - quietSinceMs < QUIET_MS || loadBytes < GARBAGE_BYTES) return;
    loadBytes = 0;
    collect();
  };
  return {
    refresh() {
      follow();
      collectAfterLoad();
    },
    recordRead(bytes) {
      unseenBytes += bytes;
      loadBytes += bytes;
      quietBytes += bytes;
      if (unseenBytes >= REFRESH_AFTER_BYTES) follow();
    },
  };
}
