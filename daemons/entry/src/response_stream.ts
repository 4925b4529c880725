/**
 * Delay before a connection is aborted, so that the last bytes are sent first.
 */
const ABORT_DELAY_MS = 50;

/** A response body that hands out its bytes only when its reader pulls them. */
export interface ResponseStream {
  readonly body: ReadableStream<Uint8Array>;
  /**
   * Appends bytes; `creditBytes` is passed to `onConsumed` when the reader
   * pulls them.
   */
  push(bytes: Uint8Array, creditBytes: number): void;
  /** Ends the body after the pushed bytes. */
  end(): void;
  /** Aborts the connection after the pushed bytes. */
  abort(reason: string): void;
}

/** Options for createResponseStream. */
export interface ResponseStreamOptions {
  /** Called when the reader has pulled bytes. */
  onConsumed(creditBytes: number): void;
  /** Called when the reader cancels the body before its end. */
  onCancel(): void;
}

/** Creates a stream that stays open until `end` or `abort` is called. */
export function createResponseStream(
  options: ResponseStreamOptions,
): ResponseStream {
  let pending: Uint8Array[] = [];
  let pendingCreditBytes = 0;
  let endState: {error?: Error} | undefined;
  let wake: (() => void) | undefined;

  const takePending = () => {
    const bytes = pending.length === 1 ? pending[0] : Buffer.concat(pending);
    const credit = pendingCreditBytes;
    pending = [];
    pendingCreditBytes = 0;
    options.onConsumed(credit);
    return bytes;
  };
  const pull = async (controller: ReadableStreamDefaultController) => {
    while (pending.length === 0 && !endState) {
      await new Promise<void>(resolve => (wake = resolve));
    }
    if (pending.length > 0) return controller.enqueue(takePending());
    if (endState?.error) {
      await new Promise(resolve => setTimeout(resolve, ABORT_DELAY_MS));
      return controller.error(endState.error);
    }
    controller.close();
  };
  const body = new ReadableStream<Uint8Array>(
    {
      pull,
      cancel() {
        if (!endState) options.onCancel();
        endState = {};
        wake?.();
      },
    },
    {highWaterMark: 0},
  );
  return {
    body,
    push(bytes, creditBytes) {
      if (bytes.length > 0) pending.push(bytes);
      pendingCreditBytes += creditBytes;
      wake?.();
    },
    end() {
      endState ??= {};
      wake?.();
    },
    abort(reason) {
      endState ??= {error: new Error(reason)};
      wake?.();
    },
  };
}
