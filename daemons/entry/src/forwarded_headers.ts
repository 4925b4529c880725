import {
  HOP_BY_HOP_HEADERS,
  namesInConnectionHeader,
} from '@sardinestile/headers';

/**
 * Request headers that may carry a caller's key; upstreams must not see them.
 */
const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'api-key',
  'x-api-key',
]);

/**
 * Request headers that belong to one connection and are set anew for the next.
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'content-length',
  'expect',
]);

/**
 * One header of a request or response; a repeated header has one pair for each
 * occurrence.
 */
export interface HeaderPair {
  name: string;
  value: string;
}

/**
 * Returns a caller's headers without keys, hop-by-hop headers and headers of
 * the connection. Names are in lower case.
 */
export function forwardableRequestHeaders(headers: Headers): HeaderPair[] {
  const connectionOptions = namesInConnectionHeader(
    headers.get('connection') ?? undefined,
  );
  return [...headers]
    .map(([name, value]) => ({name: name.toLowerCase(), value}))
    .filter(
      ({name}) =>
        !HOP_BY_HOP_HEADERS.has(name) &&
        !CREDENTIAL_HEADERS.has(name) &&
        !CONNECTION_HEADERS.has(name) &&
        !connectionOptions.has(name),
    );
}

/**
 * Returns an upstream's response headers without hop-by-hop headers. Expects
 * names in lower case.
 */
export function forwardableResponseHeaders(
  headers: readonly HeaderPair[],
): HeaderPair[] {
  const connection = headers.find(({name}) => name === 'connection');
  const connectionOptions = namesInConnectionHeader(connection?.value);
  return headers.filter(
    ({name}) => !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.has(name),
  );
}
