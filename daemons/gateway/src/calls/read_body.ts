import type {IncomingMessage} from 'node:http';
import type {MemoryAccount, MemoryBudget} from '../memory/memory_budget.js';

/**
 * Result of reading a body; `aborted` if the caller disconnected before its end, `memoryShort`
 * if too much is held for other requests.
 */
export type BodyReadResult =
  | {kind: 'complete'; body: Buffer | null}
  | {kind: 'tooLarge'}
  | {kind: 'memoryShort'}
  | {kind: 'aborted'};

/** Reads a request's body up to a size limit; an empty body is null. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  budget: MemoryBudget,
  account: MemoryAccount,
): Promise<BodyReadResult> {
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  if (statedBytes > maxBytes) return Promise.resolve({kind: 'tooLarge'});
  if (!budget.canTakeBody(statedBytes, 0)) {
    return Promise.resolve({kind: 'memoryShort'});
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        refuse('tooLarge');
        return;
      }
      if (!budget.canTakeBody(size, size - chunk.length)) {
        refuse('memoryShort');
        return;
      }
      chunks.push(chunk);
      account.set('requestBody', size);
    };
    const refuse = (kind: 'tooLarge' | 'memoryShort') => {
      request.off('data', onData);
      // Unread bytes would reset the connection before the caller has read the refusal.
      request.resume();
      resolve({kind});
    };
    request.on('data', onData);
    request.on('end', () => {
      const body =
        size === 0
          ? null
          : chunks.length === 1
            ? chunks[0]
            : Buffer.concat(chunks);
      resolve({kind: 'complete', body});
    });
    request.on('close', () => resolve({kind: 'aborted'}));
    request.on('error', () => resolve({kind: 'aborted'}));
  });
}
