import type {IncomingHttpHeaders} from 'node:http';

/** How the end of a message is marked: by its length, its chunks or the close of its connection. */
export type MessageFraming = 'length' | 'chunks' | 'close';

/** What has arrived of an upstream's response. */
export interface ResponseReceipt {
  /** Undefined before the headers. */
  framing: MessageFraming | undefined;
  bodyBytes: number;
}

/** Creates the receipt of a response of which nothing has arrived. */
export function createResponseReceipt(): ResponseReceipt {
  return {framing: undefined, bodyBytes: 0};
}

/** Returns how the headers of a message mark its end. */
export function framingOf(headers: IncomingHttpHeaders): MessageFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'close' : 'length';
}
