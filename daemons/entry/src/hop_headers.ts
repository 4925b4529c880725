import {
  HOP_BY_HOP_HEADERS,
  namesInConnectionHeader,
} from '@sardinestile/headers';

/** Headers that may carry a caller's key. */
const CREDENTIALS: ReadonlySet<string> = new Set([
  'authorization',
  'api-key',
  'x-api-key',
]);

/** Headers that each connection sets for itself. */
const CONNECTION_OWN: ReadonlySet<string> = new Set([
  'host',
  'content-length',
  'expect',
]);

/** One header of a request or response. */
export interface HeaderPair {
  name: string;
  value: string;
}

/** The headers of a caller that an upstream may see. */
export function forwardableRequestHeaders(headers: Headers): HeaderPair[] {
  const named = namesInConnectionHeader(headers.get('connection') ?? undefined);
  return [...headers]
    .map(([name, value]) => ({name: name.toLowerCase(), value}))
    .filter(
      ({name}) =>
        !HOP_BY_HOP_HEADERS.has(name) &&
        !CREDENTIALS.has(name) &&
        !CONNECTION_OWN.has(name) &&
        !named.has(name),
    );
}

/** The headers of an upstream that a caller may see. */
export function forwardableResponseHeaders(
  headers: readonly HeaderPair[],
): HeaderPair[] {
  const connection = headers.find(({name}) => name === 'connection');
  const named = namesInConnectionHeader(connection?.value);
  return headers.filter(
    ({name}) => !HOP_BY_HOP_HEADERS.has(name) && !named.has(name),
  );
}
