import type {IncomingMessage, ServerResponse} from 'node:http';
import {elapsedMs, readClocks} from '@sardinestile/freshness';
import type {RequestMetadata} from '@sardinestile/ports';
import {createRequestProfile} from '@sardinestile/quarantine';
import {chooseTarget, type RouteIndex} from '@sardinestile/route_table';
import type {Call, InterruptReason} from './call.js';
import {createCallerOutput} from './caller_output.js';
import {openCallAccount, type CallAccount} from '../memory/call_account.js';
import {isCallerPresent} from './caller_presence.js';
import {recordAdmission, recordCallEnd} from './call_records.js';
import type {GatewayContext} from '../gateway_context.js';
import {readBody, type BodyReadResult} from './read_body.js';
import {refuse, type RefusedRequest} from './refuse.js';
import {runCall} from './run_call.js';

/** Deadline of a request whose headers name none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/**
 * Retry delay for callers that this instance cannot serve, in milliseconds. Their retries
 * reach other instances, which can serve them at once; the delay keeps callers from
 * returning in a tight loop while all instances refuse.
 */
const OTHER_INSTANCE_RETRY_AFTER_MS = 200;

/** Handles one caller request, from reading its headers to sending the final response. */
export async function serveCall(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrivedAt = readClocks(context.clock);
  const requestMetadata = context.headerCodec.readRequest(request.headers);
  const {requestId} = requestMetadata;
  const exchange = {request, response, requestId};
  const index = context.routes();
  if (!index) {
    refuse(context, exchange, 'notReady', {
      retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS,
    });
    return;
  }
  if (context.isRefusingRequests()) {
    refuseAsLeaving(context, exchange);
    return;
  }
  const {heapBudget} = context;
  if (heapBudget.step() !== 'none') {
    refuseForMemory(context, exchange, heapBudget);
    return;
  }
  const callAccount = openCallAccount(context, request, response);
  const {account} = callAccount;
  const {maxBodyBytes} = index.table.limits;
  const body = await readBody(context, request, maxBodyBytes, account);
  try {
    await serveBody(context, exchange, {
      arrivedAt,
      requestMetadata,
      index,
      callAccount,
      body,
    });
  } finally {
    if (body.kind === 'complete') body.body.release();
  }
}

/** A request whose body was read or refused. */
interface ReadRequest {
  arrivedAt: ReturnType<typeof readClocks>;
  requestMetadata: RequestMetadata;
  /** Routes when its headers arrived. */
  index: RouteIndex;
  callAccount: CallAccount;
  body: BodyReadResult;
}

/** Serves a request of which the body was read, or refuses it. */
async function serveBody(
  context: GatewayContext,
  exchange: RefusedRequest,
  {arrivedAt, requestMetadata, index, callAccount, body}: ReadRequest,
): Promise<void> {
  const {request, response, requestId} = exchange;
  const {account} = callAccount;
  if (body.kind === 'aborted' || !(await isCallerPresent(request))) {
    recordAbandoned(context, requestId);
    return;
  }
  // The body may have arrived long after the headers.
  if (context.isRefusingRequests()) {
    refuseAsLeaving(context, exchange);
    return;
  }
  if (body.kind === 'tooLarge') {
    refuse(context, exchange, 'bodyTooLarge');
    return;
  }
  if (body.kind === 'memoryShort') {
    refuseForMemory(context, exchange, context.memoryBudget);
    return;
  }
  const bodyBytes = body.body.length === 0 ? null : body.body.view();
  // The configuration may have changed while the request was read.
  const current = context.routes() ?? index;
  const {headers, url: path = '/'} = request;
  const {host = ''} = headers;
  const route = current.match(host, path);
  if (!route) {
    refuse(context, exchange, 'unknownRoute');
    return;
  }
  const isKeyRequired = !route.isOpen && current.table.keyHolders !== undefined;
  const organisation = isKeyRequired
    ? findKeyHolder(current, requestMetadata.key)
    : undefined;
  if (isKeyRequired) {
    const ageMs = context.configAgeMs();
    if (ageMs > context.maxKeyAgeMs()) {
      refuse(context, {...exchange, route}, 'keysStale', {
        retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS,
        reason: `the list of keys was last confirmed ${Math.round(ageMs)} ms ago`,
      });
      return;
    }
    if (!organisation) {
      refuse(context, {...exchange, route}, 'invalidKey');
      return;
    }
  }
  const waitedMs = elapsedMs(arrivedAt, readClocks(context.clock));
  const arrivedAtMs = context.clock.monotonicMs() - waitedMs;
  const call: Call = {
    request,
    response,
    account,
    output: createCallerOutput(response, account, context.clock),
    requestId: requestId ?? '',
    requestMetadata,
    route,
    service: chooseTarget(route, requestId ?? ''),
    organisation,
    urgency: current.urgencyOf(route, organisation),
    configVersion: current.table.version,
    body: bodyBytes,
    dropBody() {
      call.body = null;
      body.body.release();
      account.set('requestBody', 0);
    },
    profile: createRequestProfile({
      host,
      path,
      organisation: organisation?.name,
      body: bodyBytes,
      promptParts: requestMetadata.promptParts,
    }),
    arrivedAtMs,
    routeDeadlineAtMs: arrivedAtMs + route.timeoutMs,
    callerDeadlineAtMs:
      arrivedAtMs + (requestMetadata.deadlineMs ?? DEFAULT_DEADLINE_MS),
    triedUpstreamIds: new Set(),
    attempts: 0,
    mayHaveRun: false,
    isUsageCounted: false,
    lastEventId: requestMetadata.lastEventId,
    firstEventAtMs: undefined,
    lastEventAtMs: undefined,
    streamVersion: undefined,
    hasCallerDisconnected: false,
    onInterrupt: undefined,
  };
  callAccount.attach(call);
  try {
    await runInterruptible(context, call);
  } finally {
    callAccount.endCall();
  }
}

function refuseAsLeaving(
  context: GatewayContext,
  exchange: RefusedRequest,
): void {
  refuse(context, exchange, 'shuttingDown', {
    retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS,
  });
}

function refuseForMemory(
  context: GatewayContext,
  exchange: RefusedRequest,
  {heldBytes, limitBytes}: {heldBytes: number; limitBytes: number},
): void {
  const {residentBytes} = context.memoryBudget;
  const resident =
    residentBytes === undefined
      ? ''
      : `, with ${residentBytes} bytes of resident memory`;
  refuse(context, exchange, 'memoryShort', {
    retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS,
    reason: `the process holds ${Math.round(heldBytes)} bytes of at most ${Math.round(limitBytes)}${resident}`,
  });
}

/** Logs and counts a request whose caller left before it was sent to an upstream. */
function recordAbandoned(
  {metrics, logger}: GatewayContext,
  requestId: string | undefined,
): void {
  metrics.increment('sardinestile_calls_interrupted_total', {
    reason: 'callerLeft',
  });
  logger.info('call_abandoned', {requestId});
}

function findKeyHolder(index: RouteIndex, key: string | undefined) {
  return key === undefined ? undefined : index.keyHolderOf(key);
}

/** Runs a call until it is answered, its caller disconnects or its deadline passes. */
async function runInterruptible(
  context: GatewayContext,
  call: Call,
): Promise<void> {
  const interrupt = (reason: InterruptReason) => call.onInterrupt?.(reason);
  const onClose = () => {
    if (call.response.writableFinished) return;
    call.hasCallerDisconnected = true;
    interrupt('callerLeft');
  };
  const onShutdown = () => interrupt('shutdown');
  call.response.once('close', onClose);
  context.shutdownSignal.addEventListener('abort', onShutdown);
  const leftMs =
    Math.min(call.routeDeadlineAtMs, call.callerDeadlineAtMs) -
    context.clock.monotonicMs();
  const timer = setTimeout(() => interrupt('timeout'), Math.max(0, leftMs));
  try {
    recordAdmission(context, call);
    if (!call.response.destroyed) await runCall(context, call);
  } finally {
    recordCallEnd(context, call);
    context.fairShares.recordEnd(call, context.clock.monotonicMs());
    clearTimeout(timer);
    call.response.off('close', onClose);
    context.shutdownSignal.removeEventListener('abort', onShutdown);
  }
}
