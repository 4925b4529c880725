/** One complete server-sent event, as received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Numeric `id` field; undefined for events without one, such as comments. */
  id: number | undefined;
  /** Whether it has a field; false for one that consists of comments. */
  hasData: boolean;
}

/** Largest event; more bytes without a complete event are no event stream. */
export const MAX_EVENT_BYTES = 1_048_576;

const LF = 0x0a;
const CR = 0x0d;

/** Splits a stream of server-sent events into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Number of bytes of an incomplete event that are buffered. */
  readonly partialBytes: number;
}

/** Creates a splitter for the beginning of a stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes =
        pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      let start = 0;
      for (;;) {
        const end = endOfEvent(bytes, start);
        if (end < 0) break;
        const event = bytes.subarray(start, end);
        events.push({
          bytes: event,
          id: readEventId(event),
          hasData: hasField(event),
        });
        start = end;
      }
      pending = bytes.subarray(start);
      return events;
    },
    get partialBytes() {
      return pending.length;
    },
  };
}

/** Returns the offset after the empty line that ends an event, or -1 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  let lineFeedAt = bytes.indexOf(LF, start);
  while (lineFeedAt >= 0) {
    const next = lineFeedAt + 1;
    if (bytes[next] === LF) return next + 1;
    if (bytes[next] === CR && bytes[next + 1] === LF) return next + 2;
    lineFeedAt = bytes.indexOf(LF, next);
  }
  return -1;
}

/** Whether a line begins with a field rather than with a comment's colon. */
function hasField(event: Buffer): boolean {
  return /(?:^|\n)[^:\r\n]/.test(event.toString('latin1'));
}

function readEventId(event: Buffer): number | undefined {
  const match = /(?:^|\n)id: ?(\d+)\r?\n/.exec(event.toString('latin1'));
  return match ? Number(match[1]) : undefined;
}
