import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {CallDialect} from '@sardinestile/ports';
import type {BufferedAnswer} from './call.js';

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

/** A whole answer that is held back until it is clear that it is the last word. */
export function holdAnswer(
  dialect: CallDialect,
  status: number,
  headers: IncomingHttpHeaders,
  chunks: readonly Buffer[],
): BufferedAnswer {
  return {
    status,
    headers: dialect.callerHeaders(headers),
    body: Buffer.concat(chunks),
    isUnframed: isUnframed(headers),
  };
}
