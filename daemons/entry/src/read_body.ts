import type {BufferCollector} from '@sardinestile/memory';
import {HTTPError, type H3Event} from 'h3';
import {Err, Ok, type Result} from 'ts-results-es';
import type {BodyAccount} from './body_budget.js';

/** Code of the error with which node:http ends a body whose sender has left. */
const SENDER_LEFT_CODE = 'ECONNRESET';

/** Bytes that are reserved first for a body whose sender states no size. */
const INITIAL_BYTES = 16_384;

/** Why a body was not read whole. */
export type BodyRefusal = 'body_too_large' | 'memory_short';

/** Options for readLimitedBody. */
export interface ReadBodyOptions {
  maxBytes: number;
  /** Room for the body; it stays taken until the account is closed. */
  account: BodyAccount;
  bufferCollector: BufferCollector;
}

/**
 * Reads a request's body into one buffer, unless it is longer than the limit or there is no
 * room for it. Rejects with an error of status 400 if the caller leaves before its end.
 */
export async function readLimitedBody(
  request: H3Event['req'],
  {maxBytes, account, bufferCollector}: ReadBodyOptions,
): Promise<Result<Uint8Array, BodyRefusal>> {
  const statedBytes = Number(request.headers.get('content-length') ?? 0);
  if (statedBytes > maxBytes) return Err('body_too_large');
  const source = request.runtime?.node?.req;
  if (!source) throw new Error('the request has no connection');
  const firstBytes = statedBytes || Math.min(INITIAL_BYTES, maxBytes);
  let body: Buffer | undefined = account.tryResize(firstBytes)
    ? // Slabs that small buffers share would stay as long as any of them.
      Buffer.allocUnsafeSlow(firstBytes)
    : undefined;
  let length = 0;
  try {
    for await (const part of source.iterator({destroyOnReturn: false})) {
      const bytes = part as Buffer;
      bufferCollector.recordRead(bytes.length);
      const end = length + bytes.length;
      if (end > maxBytes) return Err('body_too_large');
      if (body && end > body.length) {
        body = grow(body, Math.min(maxBytes, Math.max(end, 2 * body.length)));
      }
      body?.set(bytes, length);
      length = end;
    }
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== SENDER_LEFT_CODE) throw error;
    // Any other error would be written to standard error as unexpected.
    throw new HTTPError({
      status: 400,
      message: 'the caller left',
      cause: error,
    });
  }
  // Bytes that are left unread would reset the connection before the caller has the refusal.
  return body ? Ok(body.subarray(0, length)) : Err('memory_short');

  function grow(small: Buffer, bytes: number): Buffer | undefined {
    if (!account.tryResize(bytes)) return undefined;
    bufferCollector.recordRead(small.length);
    const grown = Buffer.allocUnsafeSlow(bytes);
    grown.set(small);
    return grown;
  }
}
