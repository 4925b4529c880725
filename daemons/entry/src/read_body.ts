import {HTTPError} from 'h3';

/** Code of the error with which node:http ends a body whose sender has left. */
const SENDER_LEFT_CODE = 'ECONNRESET';

/**
 * Reads a request's body; undefined if it is longer than the limit. Rejects with an error of
 * status 400 if the caller leaves before its end.
 */
export async function readLimitedBody(
  request: Request,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  const declaredBytes = Number(request.headers.get('content-length') ?? 0);
  if (declaredBytes > maxBytes) return undefined;
  if (!request.body) return new Uint8Array(0);
  const parts: Uint8Array[] = [];
  let receivedBytes = 0;
  try {
    for await (const part of request.body as AsyncIterable<Uint8Array>) {
      receivedBytes += part.length;
      if (receivedBytes > maxBytes) return undefined;
      parts.push(part);
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
  return Buffer.concat(parts);
}
