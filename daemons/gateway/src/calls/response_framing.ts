import type {IncomingHttpHeaders} from 'node:http';
import type {HeaderCodec} from '@sardinestile/ports';
import type {BufferedResponse} from './call.js';

export {breakOff} from '@sardinestile/connections';

/** How the end of a message is marked: by its length, its chunks or the close of its connection. */
export type MessageFraming = 'length' | 'chunks' | 'close';

/** Returns how the headers of a message mark its end. */
export function framingOf(headers: IncomingHttpHeaders): MessageFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/** Whether the end of a response is marked only by the close of its connection. */
export function isCloseDelimited(headers: IncomingHttpHeaders): boolean {
  return framingOf(headers) === 'close';
}

/** Creates a buffered response, which is not sent to the caller before it is known to be final. */
export function bufferResponse(
  headerCodec: HeaderCodec,
  status: number,
  headers: IncomingHttpHeaders,
  parts: readonly Buffer[],
): BufferedResponse {
  return {
    status,
    headers: headerCodec.callerHeaders(headers),
    parts,
    isCloseDelimited: isCloseDelimited(headers),
  };
}
