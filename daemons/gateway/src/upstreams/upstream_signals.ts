import type {IncomingHttpHeaders} from 'node:http';
import type {UpstreamRecord} from '@sardinestile/fleet';
import type {GatewayContext} from '../gateway_context.js';

/** Status of a response from another instance than the expected one. */
const MISDIRECTED_STATUS = 421;

/** Status with which an upstream asks for time without requests. */
const UNAVAILABLE_STATUS = 503;

/** Response whose headers may contain signals. */
export interface SignalledResponse {
  status: number;
  headers: IncomingHttpHeaders;
  /** Time at which the request was sent. */
  sentAtMs: number;
}

/**
 * Applies what an upstream states about itself in the response to a request that
 * was sent at a time: that it is leaving, that it wants no requests for a time, or
 * how many requests it takes from all gateways.
 */
export function applyUpstreamSignals(
  context: GatewayContext,
  upstream: UpstreamRecord,
  {status, headers, sentAtMs}: SignalledResponse,
): void {
  // The address was reassigned, so that the response is about another upstream.
  if (status === MISDIRECTED_STATUS) return;
  const {fleet, clock, reporter, logger, metrics} = context;
  const {isLeaving, retryAfterMs, limitPerS, coldMs} =
    context.headerCodec.readResponse(headers);
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
  applyLimit(context, upstream, limitPerS, sentAtMs);
  const nowMs = clock.monotonicMs();
  fleet.coldUpstreams.recordAnswer(upstream, sentAtMs, nowMs);
  if (coldMs !== undefined) {
    fleet.coldUpstreams.applyResponse(upstream, coldMs, sentAtMs, nowMs);
  }
}

function applyLimit(
  {fleet, clock, reporter, logger, metrics}: GatewayContext,
  upstream: UpstreamRecord,
  limitPerS: number | undefined,
  sentAtMs: number,
): void {
  const {id, startedAtWallMs, service} = upstream;
  const isChanged =
    limitPerS === undefined
      ? fleet.requestLimits.stateNone(upstream, sentAtMs)
      : fleet.requestLimits.state(upstream, limitPerS, clock.monotonicMs());
  if (!isChanged) return;
  reporter.recordLimit(id, startedAtWallMs, limitPerS);
  metrics.increment('sardinestile_upstream_limit_changes_total', {service});
  logger.info('upstream_limit_changed', {upstream: id, limitPerS});
}
