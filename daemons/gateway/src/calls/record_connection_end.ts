import type {ConnectionEnd} from '@sardinestile/connections';
import type {GatewayContext} from '../gateway_context.js';

/**
 * Counts the end of a caller's connection. Logs it after the process was told to stop, and
 * whenever this process ended it while a request was open. `sinceStopMs` is the time since
 * then; undefined before it.
 */
export function recordConnectionEnd(
  {
    metrics,
    logger,
    headerCodec,
  }: Pick<GatewayContext, 'metrics' | 'logger' | 'headerCodec'>,
  {peer: caller, openRequests, ...end}: ConnectionEnd,
  sinceStopMs: number | undefined,
): void {
  metrics.increment('sardinestile_caller_connections_ended_total', {
    reason: end.reason,
    hadOpenRequest: String(openRequests.length > 0),
  });
  const isUnanswered = openRequests.length > 0 && end.peerEnd === undefined;
  if (sinceStopMs === undefined && !isUnanswered) return;
  const requestIds = openRequests.map(
    ({headers}) => headerCodec.readRequest(headers).requestId ?? '',
  );
  logger.info('caller_connection_ended', {
    caller,
    sinceStopMs,
    ...end,
    openRequests: openRequests.length,
    requestIds: requestIds.join(',') || undefined,
  });
}
