import type {IncomingMessage, ServerResponse} from 'node:http';
import {elapsedMs, readClocks} from '@sardinestile/freshness';
import {chooseTarget, type RouteIndex} from '@sardinestile/route_table';
import type {Call, InterruptReason} from './call.js';
import {recordAdmission, recordCallEnd} from './call_records.js';
import type {GatewayContext} from './gateway_context.js';
import {readBody} from './read_body.js';
import {refuse} from './refuse.js';
import {runCall} from './run_call.js';

/** Time that a caller waits where it names no deadline, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/** When callers that hit an instance without a current view may return, in milliseconds. */
const STALE_RETRY_AFTER_MS = 200;

/** Serves one request of a caller, from its headers to its final answer. */
export async function serveCall(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrivedAt = readClocks(context.clock);
  const facts = context.dialect.readRequest(request.headers);
  const {requestId} = facts;
  const base = {request, response, requestId};
  const index = context.routes();
  if (!index) {
    refuse(context, base, 'notReady', {retryAfterMs: STALE_RETRY_AFTER_MS});
    return;
  }
  if (context.isClosing()) {
    refuse(context, base, 'shuttingDown', {retryAfterMs: STALE_RETRY_AFTER_MS});
    return;
  }
  const body = await readBody(request, index.table.limits.maxBodyBytes);
  if (body.kind === 'cut') return;
  if (body.kind === 'tooLarge') {
    refuse(context, base, 'bodyTooLarge');
    return;
  }
  // Decided after the body was read, by the version in force now.
  const current = context.routes() ?? index;
  const route = current.match(request.headers.host ?? '', request.url ?? '/');
  if (!route) {
    refuse(context, base, 'unknownRoute');
    return;
  }
  const isKeyed = !route.isOpen && current.table.keyHolders !== undefined;
  const organisation = isKeyed ? holderOf(current, facts.key) : undefined;
  if (isKeyed) {
    const ageMs = context.configAgeMs();
    if (ageMs > context.maxKeyAgeMs()) {
      refuse(context, {...base, route}, 'keysStale', {
        retryAfterMs: STALE_RETRY_AFTER_MS,
        reason: `the view of the keys is ${Math.round(ageMs)} ms old`,
      });
      return;
    }
    if (!organisation) {
      refuse(context, {...base, route}, 'invalidKey');
      return;
    }
  }
  const waitedMs = elapsedMs(arrivedAt, readClocks(context.clock));
  const arrivedAtMs = context.clock.monotonicMs() - waitedMs;
  const call: Call = {
    request,
    response,
    requestId: requestId ?? '',
    facts,
    route,
    service: chooseTarget(route, requestId ?? ''),
    organisation,
    urgency: current.urgencyOf(route, organisation),
    configVersion: current.table.version,
    body: body.body,
    arrivedAtMs,
    endAtMs: arrivedAtMs + route.timeoutMs,
    deadlineAtMs: arrivedAtMs + (facts.deadlineMs ?? DEFAULT_DEADLINE_MS),
    triedIds: new Set(),
    attempts: 0,
    mayHaveRun: false,
    isCounted: false,
    lastEventId: facts.lastEventId,
    firstEventAtMs: undefined,
    isGone: false,
    onInterrupt: undefined,
  };
  await runInterruptible(context, call);
}

function holderOf(index: RouteIndex, key: string | undefined) {
  return key === undefined ? undefined : index.holderOf(key);
}

/** Runs a call until it is answered, its caller leaves or its time is over. */
async function runInterruptible(
  context: GatewayContext,
  call: Call,
): Promise<void> {
  const interrupt = (reason: InterruptReason) => call.onInterrupt?.(reason);
  const onClose = () => {
    if (call.response.writableFinished) return;
    call.isGone = true;
    interrupt('callerLeft');
  };
  call.response.once('close', onClose);
  const leftMs =
    Math.min(call.endAtMs, call.deadlineAtMs) - context.clock.monotonicMs();
  const timer = setTimeout(() => interrupt('timeout'), Math.max(0, leftMs));
  try {
    recordAdmission(context, call);
    if (!call.response.destroyed) await runCall(context, call);
  } finally {
    recordCallEnd(context, call);
    clearTimeout(timer);
    call.response.off('close', onClose);
  }
}
