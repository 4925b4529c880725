import type {IncomingHttpHeaders} from 'node:http';
import type {Placement} from '@sardinestile/fleet';
import type {AttemptRequest} from './attempt.js';
import type {Call} from './call.js';
import type {UpstreamConnection} from './connection_pool.js';
import type {GatewayContext} from './gateway_context.js';

/** An attempt that has its upstream and its connection. */
export interface PreparedAttempt {
  placement: Placement;
  connection: UpstreamConnection;
  startedAtMs: number;
  /** Address of an engine to copy cached parts of the prompt from. */
  fetchFrom: string | undefined;
  /** Time without any sign of an answer after which the attempt is given up. */
  giveUpMs: number | undefined;
}

/** The request as this attempt sends it. */
export function attemptRequest(
  context: GatewayContext,
  call: Call,
  {placement, startedAtMs, fetchFrom}: PreparedAttempt,
): AttemptRequest {
  const {request, facts} = call;
  const isResumed =
    call.lastEventId !== undefined && call.lastEventId !== facts.lastEventId;
  return {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: context.dialect.upstreamHeaders(request.rawHeaders, {
      deadlineMs: Math.min(call.deadlineAtMs, call.endAtMs) - startedAtMs,
      upstreamId: placement.upstream.id,
      organisation: call.organisation?.name,
      urgency: call.route.hasPromptParts ? call.urgency : undefined,
      resumeAfter: isResumed ? call.lastEventId : undefined,
      fetchFrom,
    }),
    body: call.body,
  };
}

/** Whether an answer names this request; one without a name counts as its answer. */
export function isOwnAnswer(
  context: GatewayContext,
  call: Call,
  headers: IncomingHttpHeaders,
): boolean {
  const {requestId} = context.dialect.readAnswer(headers);
  return requestId === undefined || requestId === call.requestId;
}
