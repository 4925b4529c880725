import type {IncomingMessage} from 'node:http';
import {
  createHeldBytes,
  type BufferCollector,
  type HeldBytes,
} from '@sardinestile/memory';
import type {BodyAdmission} from '../memory/body_admission.js';
import {
  SMALL_BODY_BYTES,
  type MemoryAccount,
  type MemoryBudget,
} from '../memory/memory_budget.js';

/**
 * Result of reading a body; `aborted` if the caller disconnected before its end, `memoryShort`
 * if too much is held for other requests. A complete body is held until it is released.
 */
export type BodyReadResult =
  | {kind: 'complete'; body: HeldBytes}
  | {kind: 'tooLarge'}
  | {kind: 'memoryShort'}
  | {kind: 'aborted'};

/** What reading a body depends on. */
export interface BodyReadContext {
  memoryBudget: MemoryBudget;
  bodyAdmission: BodyAdmission;
  bufferCollector: BufferCollector;
}

/** Reads a request's body up to a size limit, once there is room for it. */
export function readBody(
  {memoryBudget, bodyAdmission, bufferCollector}: BodyReadContext,
  request: IncomingMessage,
  maxBytes: number,
  account: MemoryAccount,
): Promise<BodyReadResult> {
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  return new Promise(resolve => {
    const body = createHeldBytes({statedBytes, maxBytes});
    const onData = (chunk: Buffer) => {
      bufferCollector.recordRead(chunk.length);
      const bytes = body.length + chunk.length;
      if (bytes > maxBytes) {
        refuse('tooLarge');
        return;
      }
      if (
        bytes > statedBytes &&
        !memoryBudget.canTakeBody(bytes, body.length)
      ) {
        refuse('memoryShort');
        return;
      }
      body.append(chunk);
      if (bytes > statedBytes || statedBytes <= SMALL_BODY_BYTES) {
        account.set('requestBody', bytes);
      } else account.setMissing(statedBytes - bytes);
    };
    const refuse = (kind: 'tooLarge' | 'memoryShort') => {
      request.off('data', onData);
      body.release();
      account.set('requestBody', 0);
      account.setMissing(0);
      // Unread bytes would reset the connection before the caller has read the refusal.
      request.on('data', (chunk: Buffer) =>
        bufferCollector.recordRead(chunk.length),
      );
      resolve({kind});
    };
    const abort = () => {
      stopWaiting();
      if (!request.readableEnded) body.release();
      resolve({kind: 'aborted'});
    };
    let stopWaiting: () => void = () => undefined;
    request.on('end', () => resolve({kind: 'complete', body}));
    request.on('close', abort);
    request.on('error', abort);
    if (statedBytes > maxBytes) refuse('tooLarge');
    else if (statedBytes <= SMALL_BODY_BYTES) request.on('data', onData);
    else {
      stopWaiting = bodyAdmission.request(account, statedBytes, isAdmitted => {
        if (isAdmitted) request.on('data', onData);
        else refuse('memoryShort');
      });
    }
  });
}
