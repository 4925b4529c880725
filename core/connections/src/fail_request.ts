import type {IncomingMessage, ServerResponse} from 'node:http';

/** Status of a request that failed inside of the process; it may have run. */
const INTERNAL_ERROR_STATUS = 500;

/** Answers a request that failed, or breaks its response off if that has begun. */
export function failRequest(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (response.writableEnded) return;
  if (response.headersSent) {
    breakOff(response);
    return;
  }
  response.writeHead(INTERNAL_ERROR_STATUS, {'Content-Length': 0}).end();
  // Unread bytes of its body would block the requests after it.
  request.resume();
}

const brokenOffResponses = new WeakSet<ServerResponse>();

/** Whether a response was ended by `breakOff`. */
export function wasBrokenOff(response: ServerResponse): boolean {
  return brokenOffResponses.has(response);
}

/**
 * Ends a response early so that it cannot look complete. One that is delimited by
 * the close of its connection needs a reset; others lack their last bytes.
 */
export function breakOff(response: ServerResponse): void {
  brokenOffResponses.add(response);
  if (response.useChunkedEncodingByDefault) response.destroy();
  else response.socket?.resetAndDestroy();
}
