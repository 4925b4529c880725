import {listReachableServices} from '@sardinestile/route_table';
import type {Call, InterruptReason} from './call.js';
import {endInterrupted} from './finish_call.js';
import type {GatewayContext} from '../gateway_context.js';
import type {FoundOrigin} from '../shared/stream_continuations.js';
import {refuse} from './refuse.js';

/**
 * Retry delay for callers whose stream cannot go on at its version, in milliseconds. Until
 * then the row of versions is read anew, and a lost upstream may have been replaced.
 */
const VERSION_RETRY_AFTER_MS = 1_000;

/**
 * Finds the service and the software version at which a stream that the caller resumes has
 * to go on; the service replaces the one that a new request would get. Returns whether the
 * call may be placed; otherwise it has been answered.
 */
export async function prepareContinuation(
  context: GatewayContext,
  call: Call,
): Promise<boolean> {
  const {lastEventId, resumedRequestId} = call.requestMetadata;
  if (call.route.kind !== 'stream' || lastEventId === undefined) return true;
  const interrupted = new Promise<InterruptReason>(resolve => {
    call.onInterrupt = resolve;
  });
  const services = listReachableServices(call.route);
  const found = context.continuations
    .findOrigin({requestId: resumedRequestId, route: call.route})
    .then(origin => ({origin}));
  const result = await Promise.race([found, interrupted]);
  call.onInterrupt = undefined;
  if (typeof result === 'string') {
    endInterrupted(context, call, result);
    return false;
  }
  const {origin} = result;
  if (origin && services.includes(origin.service)) {
    recordContinuation(context, call, origin);
    return true;
  }
  if (origin) {
    // It is a new request, which the configuration does not let that service run.
    refuseAsUnavailable(
      context,
      call,
      `route ${call.route.name} sends no requests to ${origin.service}, which began the stream`,
    );
    return false;
  }
  recordRefusal(context, call, 'versionUnknown');
  refuse(context, call, 'streamVersionUnknown', {
    retryAfterMs: VERSION_RETRY_AFTER_MS,
    reason: `no gateway knows which software version began the stream of ${resumedRequestId ?? 'an unnamed request'}`,
  });
  return false;
}

/** Limits a call to the service and the version at which its stream has to go on. */
function recordContinuation(
  {metrics, logger}: GatewayContext,
  call: Call,
  {service, softwareVersion, source, ageMs}: FoundOrigin,
): void {
  call.service = service;
  call.streamVersion = softwareVersion;
  const {requestId} = call;
  const {resumedRequestId: resumedRequest} = call.requestMetadata;
  metrics.increment('sardinestile_streams_continued_total', {service, source});
  logger.info('stream_continued', {
    requestId,
    resumedRequest,
    service,
    softwareVersion,
    source,
    ageMs: ageMs && Math.round(ageMs),
  });
}

/**
 * Refuses a call that has not run if no upstream of the version that began its stream
 * takes it. Returns whether it did.
 */
export function refuseIfVersionUnavailable(
  context: GatewayContext,
  call: Call,
): boolean {
  const {streamVersion, service} = call;
  const isAnswerable = !call.mayHaveRun && !call.response.headersSent;
  if (streamVersion === undefined || !isAnswerable) return false;
  refuseAsUnavailable(
    context,
    call,
    `no upstream of ${service} with software version ${streamVersion} takes the request`,
  );
  return true;
}

function refuseAsUnavailable(
  context: GatewayContext,
  call: Call,
  reason: string,
): void {
  recordRefusal(context, call, 'versionUnavailable');
  const retryAfterMs = VERSION_RETRY_AFTER_MS;
  refuse(context, call, 'streamVersionUnavailable', {retryAfterMs, reason});
}

/** Whether events of the stream came from an upstream whose software version is unknown. */
export function hasUnknownVersion(call: Call): boolean {
  return call.firstEventAtMs !== undefined && call.streamVersion === undefined;
}

function recordRefusal(
  {metrics}: GatewayContext,
  {service}: Call,
  reason: 'versionUnknown' | 'versionUnavailable',
): void {
  metrics.increment('sardinestile_streams_not_continued_total', {
    service,
    reason,
  });
}
