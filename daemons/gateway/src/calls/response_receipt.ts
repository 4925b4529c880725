import type {IncomingHttpHeaders} from 'node:http';
import {createResponseFinder, type ResponseFinder} from './response_finder.js';
import {framingOf, type MessageFraming} from './response_framing.js';

/** Receives an upstream's response and decides whether it is the one that is due. */
export interface ResponseReceipt {
  /** Undefined before the headers. */
  readonly framing: MessageFraming | undefined;
  /** Bytes of the body that have arrived. */
  readonly bodyBytes: number;
  /** Takes the headers; returns why the response is not the one that is due, or undefined. */
  begin(headers: IncomingHttpHeaders): string | undefined;
  /** Takes a part of the body; returns why it cannot be one, or undefined. */
  add(chunk: Buffer): string | undefined;
}

/** Options for `createResponseReceipt`. */
export interface ResponseReceiptOptions {
  /** Id of the request; empty if it has none. */
  requestId: string;
  /** Returns the id of the request that a response names. */
  readRequestId: (headers: IncomingHttpHeaders) => string | undefined;
}

/**
 * Creates the receipt of a response of which nothing has arrived. Upstreams name the request in
 * each response: one that names none is of no request, like bytes that follow a response.
 */
export function createResponseReceipt({
  requestId,
  readRequestId,
}: ResponseReceiptOptions): ResponseReceipt {
  let framing: MessageFraming | undefined;
  let bodyBytes = 0;
  /** Of a response without a length, which an upstream that repeats itself does not end. */
  let copyFinder: ResponseFinder | undefined;
  return {
    get framing() {
      return framing;
    },
    get bodyBytes() {
      return bodyBytes;
    },
    begin(headers) {
      framing = framingOf(headers);
      if (framing === 'close' && requestId !== '') {
        copyFinder = createResponseFinder(
          copyHeaders => readRequestId(copyHeaders) === requestId,
        );
      }
      const namedId = readRequestId(headers) ?? '';
      if (namedId === requestId) return undefined;
      return namedId === ''
        ? 'the response names no request'
        : 'the response belongs to another request';
    },
    add(chunk) {
      bodyBytes += chunk.length;
      return copyFinder?.push(chunk)
        ? 'the response is followed by a copy of itself'
        : undefined;
    },
  };
}
