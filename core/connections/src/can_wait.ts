import type {IncomingMessage} from 'node:http';
import {bodyBytes} from './message_size.js';

/** Requests that may wait on a connection for the responses to those before them. */
const MAX_WAITING_REQUESTS = 8;

/**
 * Whether a request can wait behind others on its connection. Node.js stops reading a
 * connection while a body that nobody reads exceeds its buffer, and would not notice that
 * the peer left.
 */
export function canWait(
  request: IncomingMessage,
  waiting: readonly IncomingMessage[],
): boolean {
  const waitingBytes = [request, ...waiting].reduce(
    (sum, other) => sum + bodyBytes(other),
    0,
  );
  return (
    waiting.length < MAX_WAITING_REQUESTS &&
    waitingBytes < request.readableHighWaterMark
  );
}
