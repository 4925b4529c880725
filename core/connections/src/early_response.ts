import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Lets the connection end after a response that is given before its request has arrived
 * whole: the unread rest of a body must not be parsed as the next request.
 */
export function endAfterEarlyResponse(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (request.complete) return;
  response.shouldKeepAlive = false;
  response.once('finish', () => dropHeaders(request));
}

/** Drops the headers of a request that node:http keeps until its connection has closed. */
export function dropHeaders(request: IncomingMessage): void {
  request.headers = {};
  request.rawHeaders = [];
}
