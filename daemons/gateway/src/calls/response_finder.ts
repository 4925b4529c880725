import type {IncomingHttpHeaders} from 'node:http';

const STATUS_LINE_START = 'HTTP/1.';
/** Start of a status line, up to the status. */
const STATUS_LINE_PATTERN = /^HTTP\/1\.[01] \d{3}$/;
const STATUS_LINE_BYTES = 'HTTP/1.1 200'.length;

const HEAD_END = '\r\n\r\n';

/** Longest head of a response that is looked for, in bytes. */
const MAX_HEAD_BYTES = 4_096;

/** Looks for the head of another response within the body of one. */
export interface ResponseFinder {
  /** Takes the next part of the body; returns whether a head has been found in it by now. */
  push(chunk: Buffer): boolean;
}

/** Creates a finder of a head whose headers, with names in lower case, are the ones looked for. */
export function createResponseFinder(
  isWanted: (headers: IncomingHttpHeaders) => boolean,
): ResponseFinder {
  /** End of what was taken, in which a head may have begun. */
  let rest: Buffer = Buffer.alloc(0);
  let isFound = false;
  return {
    push(chunk) {
      if (isFound) return true;
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      let start = bytes.indexOf(STATUS_LINE_START);
      while (start >= 0) {
        const head = bytes.subarray(start, start + MAX_HEAD_BYTES);
        const match = matchHead(head, isWanted);
        isFound = match === 'wanted';
        if (isFound) return true;
        if (match === 'partial') break;
        start = bytes.indexOf(STATUS_LINE_START, start + 1);
      }
      const restBytes =
        start < 0 ? STATUS_LINE_START.length - 1 : bytes.length - start;
      rest = Buffer.from(bytes.subarray(Math.max(0, bytes.length - restBytes)));
      return false;
    },
  };
}

/** Whether bytes begin with a head that is wanted, or may do so once more have arrived. */
function matchHead(
  bytes: Buffer,
  isWanted: (headers: IncomingHttpHeaders) => boolean,
): 'wanted' | 'partial' | 'other' {
  const canGrow = bytes.length < MAX_HEAD_BYTES;
  if (bytes.length < STATUS_LINE_BYTES) return 'partial';
  const statusLine = bytes.toString('latin1', 0, STATUS_LINE_BYTES);
  if (!STATUS_LINE_PATTERN.test(statusLine)) return 'other';
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) return canGrow ? 'partial' : 'other';
  return isWanted(parseHead(bytes.toString('latin1', 0, end)))
    ? 'wanted'
    : 'other';
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
