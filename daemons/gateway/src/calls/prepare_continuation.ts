import type {Call, InterruptReason} from './call.js';
import {endInterrupted} from './finish_call.js';
import type {GatewayContext} from '../gateway_context.js';
import type {FoundVersion} from '../shared/stream_continuations.js';
import {refuse} from './refuse.js';

/**
 * Retry delay for callers whose stream cannot go on at its version, in milliseconds. Until
 * then the row of versions is read anew, and a lost upstream may have been replaced.
 */
const VERSION_RETRY_AFTER_MS = 1_000;

/**
 * Finds the software version at which a stream that the caller resumes has to go on.
 * Returns whether the call may be placed; otherwise it has been answered.
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
  const found = context.continuations
    .findVersion({requestId: resumedRequestId, service: call.service})
    .then(version => ({version}));
  const result = await Promise.race([found, interrupted]);
  call.onInterrupt = undefined;
  if (typeof result === 'string') {
    endInterrupted(context, call, result);
    return false;
  }
  if (result.version) {
    recordContinuation(context, call, result.version);
    return true;
  }
  recordRefusal(context, call, 'versionUnknown');
  refuse(context, call, 'streamVersionUnknown', {
    retryAfterMs: VERSION_RETRY_AFTER_MS,
    reason: `no gateway knows which software version began the stream of ${resumedRequestId ?? 'an unnamed request'}`,
  });
  return false;
}

/** Limits a call to the version at which its stream has to go on. */
function recordContinuation(
  {metrics, logger}: GatewayContext,
  call: Call,
  {softwareVersion, source}: FoundVersion,
): void {
  call.streamVersion = softwareVersion;
  const {requestId, service} = call;
  const {resumedRequestId: resumedRequest} = call.requestMetadata;
  metrics.increment('sardinestile_streams_continued_total', {service, source});
  logger.info('stream_continued', {
    requestId,
    resumedRequest,
    service,
    softwareVersion,
    source,
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
  recordRefusal(context, call, 'versionUnavailable');
  refuse(context, call, 'streamVersionUnavailable', {
    retryAfterMs: VERSION_RETRY_AFTER_MS,
    reason: `no upstream of ${service} with software version ${streamVersion} takes the request`,
  });
  return true;
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
