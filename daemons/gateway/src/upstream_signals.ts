import type {IncomingHttpHeaders} from 'node:http';
import type {UpstreamRecord} from '@sardinestile/fleet';
import type {GatewayContext} from './gateway_context.js';

/** Status of a response from another instance than the expected one. */
const MISDIRECTED_STATUS = 421;

/** Status with which an upstream asks for time without requests. */
const UNAVAILABLE_STATUS = 503;

/**
 * Applies what an upstream states about itself in a response: that it is
 * leaving, or that it wants no requests for a time.
 */
export function applyUpstreamSignals(
  context: GatewayContext,
  upstream: UpstreamRecord,
  status: number,
  headers: IncomingHttpHeaders,
): void {
  // The address was reassigned, so that the response is about another upstream.
  if (status === MISDIRECTED_STATUS) return;
  const {fleet, clock, reporter, logger, metrics} = context;
  const {isLeaving, retryAfterMs} = context.headerCodec.readResponse(headers);
  const {id, startedAtWallMs, service} = upstream;
  if (isLeaving && fleet.membership.markLeaving(upstream)) {
    reporter.recordLeaving(id, startedAtWallMs);
    metrics.increment('sardinestile_upstreams_leaving_total', {service});
    logger.info('upstream_leaving', {upstream: id});
  }
  if (status === UNAVAILABLE_STATUS && retryAfterMs !== undefined) {
    fleet.quietPeriods.start(upstream, retryAfterMs, clock.monotonicMs());
    metrics.increment('sardinestile_upstream_quiet_periods_total', {service});
    logger.info('upstream_quiet', {upstream: id, quietMs: retryAfterMs});
  }
}
