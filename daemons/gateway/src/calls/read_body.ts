import type {IncomingMessage} from 'node:http';

/** Result of reading a body; `aborted` if the caller disconnected before its end. */
export type BodyReadResult =
  | {kind: 'complete'; body: Buffer | null}
  | {kind: 'tooLarge'}
  | {kind: 'aborted'};

/** Reads a request's body up to a size limit; an empty body is null. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyReadResult> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve({kind: 'tooLarge'});
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        request.pause();
        resolve({kind: 'tooLarge'});
        return;
      }
      chunks.push(chunk);
    });
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
