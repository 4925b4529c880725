import type {IncomingHttpHeaders, ServerResponse} from 'node:http';

/** Whether an answer ends with its connection, so that nobody can tell if it is whole. */
export function isUnframed(headers: IncomingHttpHeaders): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Lets the response end with its connection. An answer without a length must
 * not get one here: the upstream may have broken off without a reset.
 */
export function leaveUnframed(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}
