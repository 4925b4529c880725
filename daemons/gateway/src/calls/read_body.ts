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

/**
 * Time without progress after which a body gives back the room for what has not arrived,
 * in milliseconds.
 */
const STALL_MS = 1_000;

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
      if (hasRoom) account.setMissing(statedBytes - bytes);
      else account.set('requestBody', bytes);
      if (!hasStalled || bytes === statedBytes) return;
      hasStalled = false;
      request.pause();
      requestRoom(() => request.resume());
    };
    /** Whether the whole stated size counts, rather than what has arrived. */
    let hasRoom = false;
    let hasStalled = false;
    let progressTimer: NodeJS.Timeout | undefined;
    let stopWaiting: () => void = () => undefined;
    const requestRoom = (read: () => void) => {
      const size = {bodyBytes: statedBytes, arrivedBytes: body.length};
      stopWaiting = bodyAdmission.request(account, size, isAdmitted => {
        if (!isAdmitted) {
          refuse('memoryShort');
          return;
        }
        hasRoom = true;
        watchProgress();
        read();
      });
    };
    const watchProgress = () => {
      let seenBytes = body.length;
      progressTimer = setInterval(() => {
        if (body.length > seenBytes) {
          seenBytes = body.length;
          return;
        }
        clearInterval(progressTimer);
        hasRoom = false;
        hasStalled = true;
        account.set('requestBody', body.length);
        account.setMissing(0);
      }, STALL_MS);
    };
    const stop = () => {
      stopWaiting();
      clearInterval(progressTimer);
    };
    const refuse = (kind: 'tooLarge' | 'memoryShort') => {
      stop();
      request.off('data', onData);
      body.release();
      account.set('requestBody', 0);
      account.setMissing(0);
      // Unread bytes would reset the connection before the caller has read the refusal.
      request.on('data', (chunk: Buffer) =>
        bufferCollector.recordRead(chunk.length),
      );
      request.resume();
      resolve({kind});
    };
    const abort = () => {
      stop();
      if (!request.readableEnded) body.release();
      resolve({kind: 'aborted'});
    };
    request.on('end', () => {
      stop();
      resolve({kind: 'complete', body});
    });
    request.on('close', abort);
    request.on('error', abort);
    if (statedBytes > maxBytes) refuse('tooLarge');
    else if (statedBytes <= SMALL_BODY_BYTES) request.on('data', onData);
    else requestRoom(() => request.on('data', onData));
  });
}
