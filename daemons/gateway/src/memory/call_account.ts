import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Call} from '../calls/call.js';
import {breakOff} from '../calls/response_framing.js';
import type {GatewayContext} from '../gateway_context.js';
import type {MemoryAccount} from './memory_budget.js';

/** Account of a request, from its first byte until its response has been taken. */
export interface CallAccount {
  readonly account: MemoryAccount;
  /** Sets the call whose running attempt ends if the response is broken off. */
  attach(call: Call): void;
  /** Releases the body and what was held of responses; what the caller has not taken stays. */
  endCall(): void;
}

/** Opens the account of a request; it closes when the response has been taken or the connection ended. */
export function openCallAccount(
  {memoryBudget, logger, metrics}: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): CallAccount {
  let call: Call | undefined;
  const account = memoryBudget.open(unreadBytes => {
    metrics.increment('sardinestile_unread_responses_ended_total', {});
    logger.warn('unread_response_ended', {
      requestId: call?.requestId,
      unreadBytes,
      heldBytes: memoryBudget.heldBytes,
      limitBytes: memoryBudget.limitBytes,
      residentBytes: memoryBudget.residentBytes,
    });
    if (call?.onInterrupt) call.onInterrupt('memoryShort');
    else breakOff(response);
  });
  response.once('close', () => account.close());
  return {
    account,
    attach: attached => (call = attached),
    endCall() {
      account.set('requestBody', 0);
      account.set('heldResponse', 0);
      account.set('readAhead', 0);
      const isOver = response.writableFinished || response.destroyed;
      if (isOver || request.socket.destroyed) account.close();
    },
  };
}
