import {appendChunk} from '@sardinestile/memory';

/** A complete server-sent event, or several without a field, as received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Numeric `id` field; undefined for events without one, such as comments. */
  id: number | undefined;
  /** Whether it has a field; false for comments and empty lines. */
  hasData: boolean;
}

/** Largest event; more bytes without a complete event are no event stream. */
export const MAX_EVENT_BYTES = 1_048_576;

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;

/** First bytes of lines without a field. */
const NO_FIELD_BYTES: ReadonlySet<number> = new Set([LF, CR, COLON]);

/** First bytes of a line with an id. */
const ID_FIELD = Buffer.from('id');

/** Splits a stream of server-sent events into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Number of bytes of an incomplete event that are buffered. */
  readonly partialBytes: number;
}

/** Creates a splitter for the beginning of a stream. */
export function createEventSplitter(): EventSplitter {
  /** Parts of an incomplete event, and their bytes. */
  let pending: Buffer[] = [];
  let partialBytes = 0;
  return {
    push(chunk) {
      if (partialBytes > 0) {
        appendChunk(pending, chunk);
        if (!hasEndOfEvent(pending)) {
          partialBytes += chunk.length;
          return [];
        }
      }
      const bytes = partialBytes > 0 ? Buffer.concat(pending) : chunk;
      const events: StreamEvent[] = [];
      let start = 0;
      for (;;) {
        const end = endOfEvent(bytes, start);
        if (end < 0) break;
        const event = bytes.subarray(start, end);
        const hasData = hasField(event);
        const last = events.at(-1);
        if (hasData || !last || last.hasData) {
          const id = hasData ? readEventId(event) : undefined;
          events.push({bytes: event, id, hasData});
        } else {
          last.bytes = bytes.subarray(start - last.bytes.length, end);
        }
        start = end;
      }
      partialBytes = bytes.length - start;
      pending = partialBytes > 0 ? [bytes.subarray(start)] : [];
      return events;
    },
    get partialBytes() {
      return partialBytes;
    },
  };
}

/** Longest end of an event, in bytes. */
const MAX_END_BYTES = 3;

/** Whether the last one of several parts ends an event that the others do not. */
function hasEndOfEvent(parts: readonly Buffer[]): boolean {
  const last = parts.at(-1)!;
  if (endOfEvent(last, 0) >= 0) return true;
  let before = '';
  for (let i = parts.length - 2; i >= 0; i--) {
    before =
      parts[i].toString(
        'latin1',
        Math.max(0, parts[i].length - MAX_END_BYTES),
      ) + before;
    if (before.length >= MAX_END_BYTES) break;
  }
  return /\n\r?\n/.test(before + last.toString('latin1', 0, MAX_END_BYTES));
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
  for (let at = 0; ;) {
    if (at < event.length && !NO_FIELD_BYTES.has(event[at])) return true;
    const lineFeedAt = event.indexOf(LF, at);
    if (lineFeedAt < 0) return false;
    at = lineFeedAt + 1;
  }
}

/** Returns the number of the first `id` field that has one. */
function readEventId(event: Buffer): number | undefined {
  for (let at = 0; ;) {
    const lineFeedAt = event.indexOf(LF, at);
    if (lineFeedAt < 0) return undefined;
    if (event[at] === ID_FIELD[0] && event[at + 1] === ID_FIELD[1]) {
      const line = event.toString('latin1', at, lineFeedAt);
      const match = /^id: ?(\d+)\r?$/.exec(line);
      if (match) return Number(match[1]);
    }
    at = lineFeedAt + 1;
  }
}
