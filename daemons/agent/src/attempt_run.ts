import type {
  UpstreamAdapter,
  UpstreamError,
  UpstreamEvent,
  UpstreamRequest,
} from '@sardinestile/adapters';

/** Receives the response head and the data of a run. */
export interface AttemptRunSink {
  onHead(event: Extract<UpstreamEvent, {kind: 'head'}>): void;
  onData(event: Extract<UpstreamEvent, {kind: 'data'}>): void;
}

/** How a run ended. */
export type AttemptRunResult =
  | {kind: 'finished'; promptTokens: number; outputTokens: number}
  | {kind: 'aborted'}
  | {kind: 'failed'; error: UpstreamError};

/** Options for startAttemptRun. */
export interface AttemptRunOptions {
  upstream: UpstreamAdapter;
  request: UpstreamRequest;
  /** Bytes that the run may produce before more credit is granted. */
  creditBytes: number;
  sink: AttemptRunSink;
}

/** A request that is running at the upstream. */
export interface AttemptRun {
  /** Lets the run produce more bytes. */
  grantCredit(bytes: number): void;
  /** Cancels the work at the upstream. */
  abort(): void;
  /** Resolves with the result when the run ends; never rejects. */
  done: Promise<AttemptRunResult>;
}

/**
 * Runs a request once at the upstream; reads its response only while there is
 * credit.
 */
export function startAttemptRun(options: AttemptRunOptions): AttemptRun {
  const abortController = new AbortController();
  let creditBytes = options.creditBytes;
  let notifyCreditChange: (() => void) | undefined;

  const waitForCredit = async () => {
    while (creditBytes <= 0 && !abortController.signal.aborted) {
      await new Promise<void>(resolve => (notifyCreditChange = resolve));
    }
  };
  const handleEvent = (event: UpstreamEvent) => {
    if (event.kind === 'head') options.sink.onHead(event);
    if (event.kind !== 'data') return;
    creditBytes -= event.data.length + event.text.length;
    options.sink.onData(event);
  };
  const consume = async (): Promise<AttemptRunResult> => {
    let usage = {promptTokens: 0, outputTokens: 0};
    const {signal} = abortController;
    try {
      for await (const event of options.upstream.run(options.request, signal)) {
        if (signal.aborted) return {kind: 'aborted'};
        handleEvent(event);
        if (event.kind === 'end') usage = event;
        await waitForCredit();
      }
    } catch (error) {
      if (signal.aborted) return {kind: 'aborted'};
      return {kind: 'failed', error: error as UpstreamError};
    }
    if (signal.aborted) return {kind: 'aborted'};
    const {promptTokens, outputTokens} = usage;
    return {kind: 'finished', promptTokens, outputTokens};
  };

  return {
    grantCredit(bytes) {
      creditBytes += bytes;
      notifyCreditChange?.();
    },
    abort() {
      abortController.abort();
      notifyCreditChange?.();
    },
    done: consume(),
  };
}
