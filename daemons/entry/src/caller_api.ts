import {randomUUID} from 'node:crypto';
import {ServerResponse} from 'node:http';
import {endAfterEarlyResponse} from '@sardinestile/connections';
import {H3, type H3Event} from 'h3';
import {
  admitRequest,
  OTHER_ENTRY_RETRY_AFTER_MS,
  type AdmissionRefusal,
  type AdmittedRequest,
  type RequestClassifier,
} from './admit_request.js';
import {
  classifyEngineCall,
  classifyPlainCall,
  REQUEST_CLASS_HEADER,
  type EngineCall,
} from './classify_request.js';
import {createEngineWriterFactory} from './engine_writers.js';
import type {EntryContext} from './entry_context.js';
import {authenticate, readBearerToken} from './key_authenticator.js';
import {createPlainWriterFactory} from './plain_writer.js';
import {refusalResponse} from './refusal_response.js';
import {serveOnce} from './serve_once.js';
import {serveRequest} from './serve_request.js';

/**
 * Creates the HTTP application that serves callers: the OpenAI-compatible API
 * and the routes of plain services.
 */
export function createCallerApi(context: EntryContext): H3 {
  const serveEngine = async (event: H3Event, call: EngineCall) => {
    const className = event.req.headers.get(REQUEST_CLASS_HEADER);
    const admitted = await admitRequest(context, event.req, (text, body) =>
      classifyEngineCall(text, call, body, className),
    );
    if (admitted.isErr()) return refuse(context, event, admitted.error);
    const {requestId, request} = admitted.value;
    const createWriter = createEngineWriterFactory(requestId, request);
    return serveRequest(context, admitted.value, event.req, createWriter);
  };
  const servePlain = async (event: H3Event) => {
    const {method} = event.req;
    const classify: RequestClassifier = text =>
      classifyPlainCall(text, method, event.url.pathname);
    const admitted = await admitRequest(context, event.req, classify);
    if (admitted.isErr()) return refuse(context, event, admitted.error);
    return servePlainAdmitted(event, admitted.value);
  };
  const servePlainAdmitted = (event: H3Event, admitted: AdmittedRequest) => {
    const idempotencyKey = event.req.headers.get('idempotency-key');
    if (idempotencyKey && !admitted.request.isIdempotent) {
      return serveOnce(context, admitted, event.req, idempotencyKey);
    }
    const createWriter = createPlainWriterFactory(admitted.requestId);
    return serveRequest(context, admitted, event.req, createWriter);
  };
  return new H3()
    .post('/v1/chat/completions', event => serveEngine(event, 'chat'))
    .post('/v1/completions', event => serveEngine(event, 'completion'))
    .get('/v1/models', event => listModels(context, event))
    .all('/**', servePlain);
}

/** Creates the HTTP application that answers callers while the heap has no room for more. */
export function createMemoryRefusalApi(context: EntryContext): H3 {
  return new H3().all('/**', event =>
    refuse(context, event, {
      code: 'memory_short',
      requestId: randomUUID(),
      retryAfterMs: OTHER_ENTRY_RETRY_AFTER_MS,
    }),
  );
}

function listModels(context: EntryContext, event: H3Event): Response {
  const secret = readBearerToken(event.req.headers);
  const key = secret ? authenticate(context.replica, secret) : undefined;
  if (!key) {
    const code = secret ? 'invalid_key' : 'missing_key';
    return refuse(context, event, {code, requestId: 'models'});
  }
  const models = (context.replica.serviceText?.services ?? []).flatMap(
    service =>
      service.models.map(id => ({
        id,
        object: 'model',
        created: 0,
        owned_by: service.name,
      })),
  );
  return Response.json({object: 'list', data: models});
}

function refuse(
  context: EntryContext,
  event: H3Event,
  refusal: AdmissionRefusal,
): Response {
  endIfIncomplete(event);
  const {code, requestId, organisation, detail, retryAfterMs} = refusal;
  const outcome = 'not_run';
  context.logger.info('request_refused', {
    requestId,
    organisation,
    code,
    outcome,
    retryAfterMs,
  });
  context.metrics.increment('sardinestile_refused_total', {code});
  return refusalResponse({code, outcome, detail, retryAfterMs, requestId});
}

/** Lets the connection end after the response if the request has not arrived whole. */
function endIfIncomplete({runtime}: H3Event): void {
  const response = runtime?.node?.res;
  if (response instanceof ServerResponse) {
    endAfterEarlyResponse(response.req, response);
  }
}
