import type {IncomingMessage} from 'node:http';

/** Bytes around a field's name or value: a colon and a space, or the end of the line. */
const SEPARATOR_BYTES = 2;

/** Size of the body of a request, in bytes; Infinity if its headers do not tell. */
export function bodyBytes({headers}: IncomingMessage): number {
  return headers['transfer-encoding'] === undefined
    ? Number(headers['content-length'] ?? 0)
    : Infinity;
}

/**
 * Size of a request, in bytes, if its fields are written with one space after the colon;
 * Infinity if its headers do not tell.
 */
export function messageBytes(request: IncomingMessage): number {
  const {method, url, httpVersion, rawHeaders} = request;
  const requestLine = `${method} ${url} HTTP/${httpVersion}\r\n`;
  // node:http decodes each byte to one character.
  const fieldBytes = rawHeaders.reduce(
    (sum, {length}) => sum + length + SEPARATOR_BYTES,
    0,
  );
  return requestLine.length + fieldBytes + '\r\n'.length + bodyBytes(request);
}
