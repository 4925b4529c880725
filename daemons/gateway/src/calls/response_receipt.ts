import type {IncomingHttpHeaders} from 'node:http';

/** How the end of a message is marked: by its length, its chunks or the close of its connection. */
export type MessageFraming = 'length' | 'chunks' | 'close';

/** Receives an upstream's response and decides whether it is the one that is due. */
export interface ResponseReceipt {
  /** Undefined before the headers. */
  readonly framing: MessageFraming | undefined;
  /** Bytes of the body that have arrived. */
  readonly bodyBytes: number;
  /** Takes the headers; returns why the response is not the one that is due, or undefined. */
  begin(headers: IncomingHttpHeaders): string | undefined;
  /** Takes a part of the body. */
  add(chunk: Buffer): void;
}

/**
 * Creates the receipt of a response of which nothing has arrived. `isDue` tells by its
 * headers whether a response belongs to the request.
 */
export function createResponseReceipt(
  isDue: (headers: IncomingHttpHeaders) => boolean = () => true,
): ResponseReceipt {
  let framing: MessageFraming | undefined;
  let bodyBytes = 0;
  return {
    get framing() {
      return framing;
    },
    get bodyBytes() {
      return bodyBytes;
    },
    begin(headers) {
      framing = framingOf(headers);
      return isDue(headers)
        ? undefined
        : 'the response belongs to another request';
    },
    add(chunk) {
      bodyBytes += chunk.length;
    },
  };
}

/** Returns how the headers of a message mark its end. */
function framingOf(headers: IncomingHttpHeaders): MessageFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'close' : 'length';
}
