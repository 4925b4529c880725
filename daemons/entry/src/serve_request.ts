import type {DispatchChunk} from '@sardinestile/placement';
import {releaseRequest, type AdmittedRequest} from './admit_request.js';
import type {EntryContext} from './entry_context.js';
import {
  forwardableRequestHeaders,
  type HeaderPair,
} from './forwarded_headers.js';
import {
  refusalResponse,
  toRefusalCode,
  type Refusal,
} from './refusal_response.js';
import type {OpenRequest} from './request_registry.js';
import {
  startRequestTask,
  type ResponseListener,
  type RequestFailure,
  type RequestTask,
} from './request_task.js';

/** Writes an upstream's response to the caller as an HTTP response. */
export interface ResponseWriter {
  onHead(status: number, headers: HeaderPair[]): void;
  onChunk(chunk: DispatchChunk): void;
  onComplete(promptTokens: number, outputTokens: number): void;
  /** Called if the request fails after the HTTP response has started. */
  onInterrupted(refusal: Refusal): void;
  /** Resolves when the status and headers are known. */
  readonly response: Promise<Response>;
  /**
   * Whether the response has started, so that its status can no longer change.
   */
  readonly hasStarted: boolean;
}

/**
 * Creates the writer of one request. The task exists only after the writer,
 * hence the getter.
 */
export type ResponseWriterFactory = (task: () => RequestTask) => ResponseWriter;

/** How a request ended: the HTTP status, and the failure if there was one. */
export interface ServeOutcome {
  status: number;
  failure?: RequestFailure;
}

/**
 * Serves an admitted request. Resolves when the response starts; `onEnd` is
 * called once, when the request has ended.
 */
export function serveRequest(
  context: EntryContext,
  admitted: AdmittedRequest,
  http: Request,
  createWriter: ResponseWriterFactory,
  onEnd: (outcome: ServeOutcome) => void = () => {},
): Promise<Response> {
  const {requestId, organisation, keyId, request, startedAtMs} = admitted;
  const requestClass = request.requestClass.name;
  const labels = {requestClass, organisation};
  const openRequest: OpenRequest = {
    requestId,
    organisation,
    keyId,
    requestClass,
    startedAtMs,
  };
  let firstTokenMs: number | undefined;
  let outputTokens = 0;
  let hasEnded = false;

  const end = (outcome: ServeOutcome, promptTokens: number) => {
    if (hasEnded) return;
    hasEnded = true;
    context.registry.remove(requestId);
    releaseRequest(context, admitted);
    context.usage.record(organisation, {promptTokens, outputTokens});
    logEnd(outcome);
    onEnd(outcome);
  };
  const logEnd = ({status, failure}: ServeOutcome) => {
    const durationMs = Math.round(performance.now() - startedAtMs);
    context.metrics.increment('sardinestile_requests_total', {
      ...labels,
      code: failure?.code ?? 'ok',
    });
    if (failure) {
      const {code, outcome, retryAfterMs} = failure;
      return context.logger.info('request_refused', {
        requestId,
        organisation,
        requestClass,
        code,
        outcome,
        retryAfterMs,
      });
    }
    context.metrics.recordMs(
      'sardinestile_request_seconds',
      labels,
      durationMs,
    );
    context.logger.info('request_finished', {
      requestId,
      organisation,
      requestClass,
      status,
      durationMs,
      firstTokenMs,
      outputTokens,
      attempts: openRequest.task?.attempts ?? 0,
    });
  };

  const writer = createWriter(() => openRequest.task!);
  let resolveRefused: (response: Response) => void;
  const refusedResponse = new Promise<Response>(
    resolve => (resolveRefused = resolve),
  );
  let status = 200;

  const listener: ResponseListener = {
    onHead(headStatus, headers) {
      status = headStatus;
      writer.onHead(headStatus, headers);
    },
    onChunk(chunk) {
      if (firstTokenMs === undefined) {
        firstTokenMs = Math.round(performance.now() - startedAtMs);
        context.metrics.recordMs(
          'sardinestile_first_token_seconds',
          labels,
          firstTokenMs,
        );
      }
      outputTokens += chunk.tokens;
      writer.onChunk(chunk);
    },
    onComplete(promptTokens, reportedTokens) {
      outputTokens ||= reportedTokens;
      writer.onComplete(promptTokens, outputTokens);
      end({status}, promptTokens);
    },
    onFail(failure) {
      const refusal: Refusal = {
        code: toRefusalCode(failure.code),
        outcome: failure.outcome,
        retryAfterMs: failure.retryAfterMs,
        requestId,
      };
      if (writer.hasStarted) writer.onInterrupted(refusal);
      else resolveRefused(refusalResponse(refusal));
      end({status, failure}, outputTokens > 0 ? request.promptTokens : 0);
    },
  };
  // The key may have been revoked while the request body was read.
  if (keyId && !context.replica.hasKey(keyId)) {
    listener.onFail({code: 'invalid_key', outcome: 'not_run'});
    return refusedResponse;
  }
  const url = new URL(http.url);
  context.registry.add(openRequest);
  openRequest.task = startRequestTask({
    requestId,
    organisation,
    keyId,
    request,
    forwarded: {
      method: http.method,
      path: url.pathname + url.search,
      headers: forwardableRequestHeaders(http.headers),
      body: admitted.body,
    },
    availabilityZone: context.availabilityZone,
    configVersion: context.replica.version,
    arrivedAtMs: startedAtMs,
    pool: context.pool,
    retryBudget: context.retryBudget,
    random: context.random,
    listener,
  });
  const onAbort = () => openRequest.task?.cancel();
  if (http.signal.aborted) onAbort();
  else http.signal.addEventListener('abort', onAbort, {once: true});
  return Promise.race([writer.response, refusedResponse]);
}
