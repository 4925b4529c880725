import type {IncomingHttpHeaders} from 'node:http';

const STATUS_LINE_START = 'HTTP/1.';
/** Start of a status line, up to the status. */
const STATUS_LINE_PATTERN = /^HTTP\/1\.[01] \d{3}$/;
const STATUS_LINE_BYTES = 'HTTP/1.1 200'.length;

const HEAD_END = '\r\n\r\n';

/** Longest head of a response that is looked for, in bytes. */
const MAX_HEAD_BYTES = 4_096;

/** Size of the pieces that are taken, and of the window that holds them, in bytes. */
const PIECE_BYTES = 4_096;
const WINDOW_BYTES = 4 * PIECE_BYTES;

/** Looks for the head of another response within the body of one. */
export interface ResponseFinder {
  /** Takes the next part of the body; returns whether a head has been found in it by now. */
  push(chunk: Buffer): boolean;
}

/**
 * Creates a finder of a head whose headers, with names in lower case, are the ones looked for.
 * Each byte is looked at a constant number of times, however it arrives: of the status lines
 * before the end of a head, only the first one that is not too far away is the start of what is
 * parsed, as the headers after the others are among its own.
 */
export function createResponseFinder(
  isWanted: (headers: IncomingHttpHeaders) => boolean,
): ResponseFinder {
  /** The last bytes of the body; allocated for the first ones. */
  let window: Buffer | undefined;
  let usedBytes = 0;
  /** Offsets in the window from which starts and ends of heads are looked for. */
  let startsFrom = 0;
  let endsFrom = 0;
  /** Offsets of status lines in the window without an end of a head behind them. */
  let starts: number[] = [];
  let isFound = false;

  const dropBefore = (bytes: Buffer, offset: number) => {
    bytes.copyWithin(0, offset, usedBytes);
    usedBytes -= offset;
    startsFrom = Math.max(0, startsFrom - offset);
    endsFrom = Math.max(0, endsFrom - offset);
    starts = starts.map(start => start - offset).filter(start => start >= 0);
  };
  const findStarts = (bytes: Buffer) => {
    for (;;) {
      const start = bytes.indexOf(STATUS_LINE_START, startsFrom);
      if (start < 0 || start + STATUS_LINE_BYTES > usedBytes) break;
      startsFrom = start + 1;
      const line = bytes.toString('latin1', start, start + STATUS_LINE_BYTES);
      if (STATUS_LINE_PATTERN.test(line)) starts.push(start);
    }
    startsFrom = Math.max(startsFrom, usedBytes - STATUS_LINE_BYTES + 1);
  };
  /** Parses the head that ends at an offset, if there is one. */
  const matchesHead = (bytes: Buffer, end: number) => {
    const next = starts.findIndex(start => start >= end);
    const ended = starts.splice(0, next < 0 ? starts.length : next);
    const lengthOf = (start: number) => end + HEAD_END.length - start;
    const start = ended.find(start => lengthOf(start) <= MAX_HEAD_BYTES);
    return (
      start !== undefined &&
      isWanted(parseHead(bytes.toString('latin1', start, end)))
    );
  };
  const findHead = (bytes: Buffer) => {
    for (;;) {
      const end = bytes.indexOf(HEAD_END, endsFrom);
      if (end < 0 || end + HEAD_END.length > usedBytes) break;
      endsFrom = end + HEAD_END.length;
      if (matchesHead(bytes, end)) return true;
    }
    endsFrom = Math.max(endsFrom, usedBytes - HEAD_END.length + 1);
    return false;
  };
  const pushPiece = (piece: Buffer) => {
    window ??= Buffer.alloc(WINDOW_BYTES);
    if (usedBytes + piece.length > WINDOW_BYTES) {
      dropBefore(window, usedBytes - MAX_HEAD_BYTES);
    }
    piece.copy(window, usedBytes);
    usedBytes += piece.length;
    // What is left of earlier bytes behind these must not be found.
    const bytes = window.subarray(0, usedBytes);
    findStarts(bytes);
    return findHead(bytes);
  };
  return {
    push(chunk) {
      for (let at = 0; at < chunk.length && !isFound; at += PIECE_BYTES) {
        isFound = pushPiece(chunk.subarray(at, at + PIECE_BYTES));
      }
      return isFound;
    },
  };
}

/** Reads the headers of a head, without regard to its first line. */
function parseHead(head: string): IncomingHttpHeaders {
  const [, ...lines] = head.split('\r\n');
  return Object.fromEntries(
    lines.map(line => {
      const [name, ...value] = line.split(':');
      return [name.toLowerCase(), value.join(':').trim()];
    }),
  );
}
