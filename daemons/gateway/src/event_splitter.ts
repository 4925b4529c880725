/** One whole event of a stream, as it was received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined for events without a number, such as comments. */
  id: number | undefined;
}

/** Largest event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

const LF = 0x0a;
const CR = 0x0d;

/** Cuts a stream into whole events. */
export interface EventSplitter {
  /** Takes bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Whether bytes of an incomplete event are left. */
  readonly hasPartial: boolean;
  readonly isTooLong: boolean;
}

/** Makes a splitter at the beginning of a stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const events: StreamEvent[] = [];
      let start = 0;
      for (;;) {
        const end = endOfEvent(bytes, start);
        if (end < 0) break;
        const event = bytes.subarray(start, end);
        events.push({bytes: event, id: readEventId(event)});
        start = end;
      }
      rest = bytes.subarray(start);
      return events;
    },
    get hasPartial() {
      return rest.length > 0;
    },
    get isTooLong() {
      return rest.length > MAX_EVENT_BYTES;
    },
  };
}

/** Offset after the empty line that ends an event; -1 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(LF, start);
  while (at >= 0) {
    const next = at + 1;
    if (bytes[next] === LF) return next + 1;
    if (bytes[next] === CR && bytes[next + 1] === LF) return next + 2;
    at = bytes.indexOf(LF, next);
  }
  return -1;
}

function readEventId(event: Buffer): number | undefined {
  const match = /(?:^|\n)id: ?(\d+)\r?\n/.exec(event.toString('latin1'));
  return match ? Number(match[1]) : undefined;
}
