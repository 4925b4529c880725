/** Resident memory of an entry without its heap: its code, stacks and the allocator. */
const PROCESS_BYTES = 100_663_296;

/** Copies of a body while it is sent to an agent: the body, and the frame that carries it. */
const COPIES = 2;

/** Share of the memory beside process and heap that bodies take; the rest is for garbage. */
const BODIES_SHARE = 0.5;

/** Smallest budget, for limits that process and heap nearly fill, in bytes. */
const MIN_BUDGET_BYTES = 8_388_608;

/** Size up to which a body is taken in any case, in bytes. */
const SMALL_BODY_BYTES = 16_384;

/** Room for the body of one request. */
export interface BodyAccount {
  /** Takes room for a body of a size; false if there is not enough. */
  tryResize(bytes: number): boolean;
  /** Gives back the room. */
  close(): void;
}

/** Counts the bodies that an entry holds until their requests have ended. */
export interface BodyBudget {
  /** Most bytes of bodies. */
  readonly limitBytes: number;
  /** Bytes of bodies that are held, or whose sender has stated their size. */
  readonly heldBytes: number;
  open(): BodyAccount;
}

/** Returns the bytes that bodies may take in a process with limits of its memory and its heap. */
export function bodyBytesLimit(
  memoryLimitBytes: number,
  heapLimitBytes: number,
): number {
  const availableBytes = memoryLimitBytes - PROCESS_BYTES - heapLimitBytes;
  return Math.max(MIN_BUDGET_BYTES, (BODIES_SHARE * availableBytes) / COPIES);
}

/** Creates a budget of which nothing is used. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  let heldBytes = 0;
  return {
    limitBytes,
    get heldBytes() {
      return heldBytes;
    },
    open() {
      let ownBytes = 0;
      return {
        tryResize(bytes) {
          const growthBytes = bytes - ownBytes;
          const hasRoom =
            bytes <= SMALL_BODY_BYTES || heldBytes + growthBytes <= limitBytes;
          if (!hasRoom) return false;
          heldBytes += growthBytes;
          ownBytes = bytes;
          return true;
        },
        close() {
          heldBytes -= ownBytes;
          ownBytes = 0;
        },
      };
    },
  };
}
