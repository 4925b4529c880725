import type {Placement} from '@sardinestile/fleet';
import type {AttemptRequest} from './attempt.js';
import type {Call} from './call.js';
import type {ResponseReceipt} from './response_receipt.js';
import type {UpstreamConnection} from '../upstreams/connection_pool.js';
import type {GatewayContext} from '../gateway_context.js';

/** An attempt with its chosen upstream and connection. */
export interface PreparedAttempt {
  placement: Placement;
  connection: UpstreamConnection;
  /** Receives its response. */
  receipt: ResponseReceipt;
  startedAtMs: number;
  /** Address of an engine to copy cached prompt parts from. */
  copyPromptFrom: string | undefined;
  silence: SilenceLimits;
  /** Whether the call could be sent to another upstream now. */
  canRepeat: () => boolean;
}

/**
 * Times without data after which another upstream is asked, if that is possible then, in
 * milliseconds; undefined waits until the call's deadline.
 */
export interface SilenceLimits {
  beforeResponseMs?: number;
  betweenEventsMs?: number;
}

/** Builds the request to send in an attempt. */
export function buildAttemptRequest(
  context: GatewayContext,
  call: Call,
  {placement, startedAtMs, copyPromptFrom}: PreparedAttempt,
): AttemptRequest {
  const {request, requestMetadata} = call;
  const isResumed =
    call.lastEventId !== undefined &&
    call.lastEventId !== requestMetadata.lastEventId;
  return {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: context.headerCodec.upstreamHeaders(request.rawHeaders, {
      deadlineMs:
        Math.min(call.callerDeadlineAtMs, call.routeDeadlineAtMs) - startedAtMs,
      upstreamId: placement.upstream.id,
      organisation: call.organisation?.name,
      urgency: call.route.hasPromptParts ? call.urgency : undefined,
      resumeAfterId: isResumed ? call.lastEventId : undefined,
      copyFrom: copyPromptFrom,
    }),
    body: call.body,
    findSendBlocker: () => findZoneOutOfService(context, placement),
  };
}

/** Returns why the placement does not hold any more; undefined if it does. */
function findZoneOutOfService(
  {fleet: {membership}}: GatewayContext,
  {upstream, copyPromptFrom}: Placement,
): string | undefined {
  const record = [upstream, copyPromptFrom].find(
    used => used && !membership.isZoneInService(used),
  );
  return (
    record &&
    `zone ${record.availabilityZone} of ${record.id} is out of service`
  );
}
