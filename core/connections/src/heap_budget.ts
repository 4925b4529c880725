import type {IncomingMessage} from 'node:http';

/** Heap of a process without callers: its code, configuration and view of the fleet. */
const PROCESS_HEAP_BYTES = 25_165_824;

/** Share of the heap's limit that may be in use; the rest is for garbage. */
const USABLE_SHARE = 0.75;

/** Heap of a connection that carries no request. */
const CONNECTION_BYTES = 5_120;

/** Heap of a request with few headers, its response and its call. */
const REQUEST_BYTES = 12_288;

/** Heap of a header field beside its text. */
const HEADER_FIELD_BYTES = 128;

/** Heap of a byte of the text of headers, of which names are held twice. */
const HEADER_BYTE_FACTOR = 1.25;

/**
 * Most heap for a byte of headers that have not arrived whole. 16 KB in the shortest fields
 * take 100 KB, as node:http keeps a thousand fields.
 */
const PARTIAL_BYTE_FACTOR = 7;

/** Share of the heap's limit from which its use shows that the estimates are too low. */
const FULL_SHARE = 0.92;

/** Share of the heap's limit below which it is no longer full. */
const USUAL_SHARE = 0.85;

/** Descriptors that are not for callers: files, upstreams, peers and the store. */
const OTHER_DESCRIPTORS = 328;

/** Share of the descriptors that callers have at least, also where there are few. */
const MIN_CALLER_SHARE = 0.5;

/** Steps that keep the heap within its limit, in the order in which they are taken. */
export const HEAP_STEPS = [
  'none',
  /** New requests are refused as not run. */
  'refuseRequests',
  /** New connections are closed unread as well. */
  'refuseConnections',
] as const;

/** A step that keeps the heap within its limit; it includes those before it. */
export type HeapStep = (typeof HEAP_STEPS)[number];

/** Estimates the heap that callers take, and decides whether there is enough for more. */
export interface HeapBudget {
  /** Most heap for callers, in bytes. */
  readonly limitBytes: number;
  /** Heap that connections and requests take by estimate, in bytes. */
  readonly heldBytes: number;
  /** Most connections of callers; Infinity without a limit. */
  readonly maxConnections: number;
  /** Returns the last step that applies now. */
  step(): HeapStep;
  /** Counts a connection; returns a function that gives it back. */
  openConnection(): () => void;
  /** Counts a request; returns a function that gives it back. */
  openRequest(request: IncomingMessage): () => void;
  /** Sets the bytes of requests whose headers have not arrived whole, of all connections. */
  setPartialBytes(bytes: number): void;
  /** Compares the estimate with the heap that is in use. */
  recordUsedBytes(bytes: number): void;
}

/** Limits from which a heap budget follows. */
export interface HeapLimits {
  /** Limit of the heap, in bytes. */
  heapLimitBytes: number;
  /** Descriptors that the process may have open; absent for no limit. */
  maxDescriptors?: number;
  /** Heap of the process without callers, in bytes; 24 MB by default. */
  processBytes?: number;
  /** Heap of a request with few headers, its response and its call, in bytes; 12 KB by default. */
  requestBytes?: number;
}

/** Creates a budget of which nothing is used. */
export function createHeapBudget({
  heapLimitBytes,
  maxDescriptors = Infinity,
  processBytes = PROCESS_HEAP_BYTES,
  requestBytes = REQUEST_BYTES,
}: HeapLimits): HeapBudget {
  const limitBytes = Math.max(
    CONNECTION_BYTES + requestBytes,
    USABLE_SHARE * heapLimitBytes - processBytes,
  );
  let openBytes = 0;
  let partialBytes = 0;
  let isFull = false;
  const open = (bytes: number) => {
    openBytes += bytes;
    let isOpen = true;
    return () => {
      if (isOpen) openBytes -= bytes;
      isOpen = false;
    };
  };
  const heldBytes = () => openBytes + partialBytes;
  return {
    limitBytes,
    get heldBytes() {
      return heldBytes();
    },
    maxConnections: Math.max(
      1,
      Math.min(
        Math.max(
          maxDescriptors - OTHER_DESCRIPTORS,
          Math.floor(MIN_CALLER_SHARE * maxDescriptors),
        ),
        Math.floor(limitBytes / CONNECTION_BYTES),
      ),
    ),
    step() {
      if (isFull) return 'refuseConnections';
      return heldBytes() > limitBytes ? 'refuseRequests' : 'none';
    },
    openConnection: () => open(CONNECTION_BYTES),
    openRequest: request => open(requestBytes + headerHeapBytes(request)),
    setPartialBytes(bytes) {
      partialBytes = PARTIAL_BYTE_FACTOR * bytes;
    },
    recordUsedBytes(bytes) {
      const share = isFull ? USUAL_SHARE : FULL_SHARE;
      isFull = bytes > share * heapLimitBytes;
    },
  };
}

/** Returns the heap that the headers of a request take until its response was sent, in bytes. */
function headerHeapBytes({url = '', rawHeaders}: IncomingMessage) {
  const textBytes = rawHeaders.reduce(
    (sum, text) => sum + text.length,
    url.length,
  );
  return (
    HEADER_BYTE_FACTOR * textBytes +
    HEADER_FIELD_BYTES * (rawHeaders.length / 2)
  );
}
