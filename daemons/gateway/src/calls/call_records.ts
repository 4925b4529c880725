import type {ServerResponse} from 'node:http';
import type {AdmissionDecision} from '@sardinestile/admission';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {AttemptOutcome, Call} from './call.js';
import type {StreamDelays} from './caller_output.js';
import type {GatewayContext} from '../gateway_context.js';
import type {CallShare} from '../shared/fair_shares.js';
import type {PreparedAttempt} from './prepare_attempt.js';
import type {MessageFraming} from './response_framing.js';

/** Attempt that ended, for its log line and metrics. */
export interface EndedAttempt {
  prepared: PreparedAttempt;
  outcome: AttemptOutcome;
  firstEventMs: number | undefined;
  durationMs: number;
}

/** Logs that a call was accepted, with its route, organisation and configuration version. */
export function recordAdmission(context: GatewayContext, call: Call): void {
  const {route, organisation, configVersion} = call;
  context.logger.info('call_admitted', {
    requestId: call.requestId,
    route: route.name,
    service: call.service,
    organisation: organisation?.name,
    urgency: call.urgency,
    deadlineMs: Math.round(call.callerDeadlineAtMs - call.arrivedAtMs),
    configVersion,
    configAgeMs: roundAgeMs(context.configAgeMs()),
  });
}

/**
 * Counts the decision about a call by organisation and urgency, and logs a refusal
 * that depends on the organisation's share.
 */
export function recordDecision(
  {metrics, logger}: GatewayContext,
  call: Call,
  decision: AdmissionDecision,
  share: CallShare | undefined,
): void {
  const organisation = call.organisation?.name ?? '';
  const isBeyondShare = share !== undefined && share.coveredPart < 1;
  metrics.increment('sardinestile_admissions_total', {
    organisation,
    urgency: String(call.urgency),
    outcome: `${decision.kind}${isBeyondShare ? 'BeyondShare' : ''}`,
  });
  if (!isBeyondShare || decision.kind !== 'refuse') return;
  logger.info('call_beyond_share', {
    requestId: call.requestId,
    service: call.service,
    organisation,
    urgency: call.urgency,
    sharePerS: Math.round(share.sharePerS),
    usagePerS: Math.round(share.usagePerS),
    demandPerS: Math.round(share.demandPerS),
    coveredPart: roundToHundredths(share.coveredPart),
    sumsAgeMs: Math.round(share.ageMs),
    backlogMs: Math.round(share.backlogMs),
    allowedWaitMs: decision.allowedWaitMs,
    roomAfterMs: Math.round(decision.roomAfterMs),
  });
}

/** Logs and counts the start of an attempt, with the chosen upstream and the expected times. */
export function recordAttemptStart(
  context: GatewayContext,
  call: Call,
  {placement, connection, startedAtMs}: PreparedAttempt,
): void {
  const {upstream, state} = placement;
  const {health} = state;
  const {metrics} = context;
  const labels = {service: call.service};
  if (call.attempts === 1) {
    const heldMs = startedAtMs - call.arrivedAtMs;
    metrics.recordMs('sardinestile_held_seconds', labels, heldMs);
  } else {
    metrics.increment('sardinestile_repeats_total', labels);
  }
  metrics.recordMs(
    'sardinestile_expected_wait_seconds',
    labels,
    placement.expectedWaitMs,
  );
  context.logger.info('attempt_started', {
    requestId: call.requestId,
    attempt: call.attempts,
    upstream: upstream.id,
    softwareVersion: upstream.softwareVersion,
    coldLimitPerS: context.fleet.coldUpstreams.ratePerS(upstream, startedAtMs),
    isFreshConnection: connection.isFresh,
    restedMs: Math.round(connection.idleMs),
    unreadTokens: placement.uncachedTokens,
    copiedFrom: placement.copyPromptFrom?.id,
    expectedWaitMs: Math.round(placement.expectedWaitMs),
    expectedFirstEventMs: Math.round(placement.expectedFirstEventMs),
    running: state.running,
    slowness: roundToHundredths(health.slowness),
    errorRate: roundToHundredths(health.errorRate(startedAtMs)),
    resumeAfter: call.lastEventId,
    resumedRequest: call.requestMetadata.resumedRequestId,
  });
}

/** Records the time between two arrivals of data within a stream, in milliseconds. */
export function recordGap(
  {metrics}: GatewayContext,
  {service}: Call,
  gapMs: number,
): void {
  metrics.recordMs('sardinestile_event_gap_seconds', {service}, gapMs);
}

/** Logs and counts the outcome of an attempt. */
export function recordAttemptEnd(
  {logger, metrics}: GatewayContext,
  call: Call,
  {prepared, outcome, firstEventMs, durationMs}: EndedAttempt,
): void {
  const {service} = call;
  metrics.increment('sardinestile_attempts_total', {
    service,
    outcome: outcome.kind,
  });
  if (firstEventMs !== undefined) {
    metrics.recordMs(
      'sardinestile_first_event_seconds',
      {service},
      firstEventMs,
    );
  }
  if (outcome.kind === 'cutOff') {
    metrics.increment('sardinestile_responses_cut_off_unread_total', {service});
    logger.info('response_cut_off_unread', {
      requestId: call.requestId,
      upstream: prepared.placement.upstream.id,
      unreadMs: Math.round(outcome.unreadMs),
      reason: outcome.reason,
    });
  }
  const {framing, bodyBytes} = prepared.receipt;
  const upstreamSide = prepared.connection.upstreamSide();
  if (framing !== undefined) {
    metrics.increment('sardinestile_upstream_responses_total', {
      service,
      framing,
      upstreamSide,
    });
  }
  logger.info('attempt_ended', {
    requestId: call.requestId,
    attempt: call.attempts,
    upstream: prepared.placement.upstream.id,
    outcome: outcome.kind,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    ...describeLostConnection(call, outcome),
    status: statusOf(outcome),
    framing,
    bodyBytes: framing && bodyBytes,
    upstreamSide,
    firstEventMs: firstEventMs && Math.round(firstEventMs),
    lastEventId: call.lastEventId,
    durationMs: Math.round(durationMs),
  });
}

/** Logs and counts the end of a call, with or without a response. */
export function recordCallEnd(
  {logger, metrics, clock}: GatewayContext,
  call: Call,
): void {
  const {response, route, organisation} = call;
  const endedAtMs = clock.monotonicMs();
  const durationMs = endedAtMs - call.arrivedAtMs;
  const delays = call.output.delays(endedAtMs);
  const outcome = outcomeOf(call);
  const status = response.headersSent ? response.statusCode : undefined;
  metrics.increment('sardinestile_calls_total', {
    route: route.name,
    organisation: organisation?.name ?? '',
    outcome,
  });
  metrics.recordMs(
    'sardinestile_call_seconds',
    {route: route.name},
    durationMs,
  );
  if (route.kind === 'stream') recordStreamDelays(metrics, call, delays);
  logger.info('call_ended', {
    requestId: call.requestId,
    route: route.name,
    organisation: organisation?.name,
    outcome,
    status,
    framing: response.headersSent ? callerFramingOf(response) : undefined,
    bodyBytes: response.headersSent ? call.output.writtenBytes : undefined,
    attempts: call.attempts,
    firstEventMs:
      call.firstEventAtMs && Math.round(call.firstEventAtMs - call.arrivedAtMs),
    longestPauseMs: roundMs(delays.longestPauseMs),
    longestWaitMs: roundMs(delays.longestWaitMs),
    durationMs: Math.round(durationMs),
  });
}

/** Returns how the end of a response that has begun is marked for the caller. */
function callerFramingOf(response: ServerResponse): MessageFraming {
  if (response.hasHeader('content-length')) return 'length';
  return response.useChunkedEncodingByDefault ? 'chunks' : 'close';
}

function recordStreamDelays(
  metrics: MetricsRegistry,
  {service}: Call,
  {longestPauseMs, longestWaitMs}: StreamDelays,
): void {
  const record = (name: string, delayMs: number | undefined) => {
    if (delayMs !== undefined) metrics.recordMs(name, {service}, delayMs);
  };
  record('sardinestile_stream_longest_pause_seconds', longestPauseMs);
  record('sardinestile_stream_longest_wait_seconds', longestWaitMs);
}

function roundMs(durationMs: number | undefined): number | undefined {
  return durationMs === undefined ? undefined : Math.round(durationMs);
}

function outcomeOf({
  hasCallerDisconnected: hasCallerDisconnected,
  response,
}: Call): string {
  if (hasCallerDisconnected) return 'callerLeft';
  // `destroyed` cannot be used, as complete responses are destroyed soon, too.
  if (!response.writableEnded) return 'brokenOff';
  return response.statusCode < 400 ? 'served' : 'failed';
}

/** Fields that tell which requests an upstream had begun to answer when it ended. */
function describeLostConnection(call: Call, outcome: AttemptOutcome) {
  if (outcome.kind !== 'unknown' || !outcome.lostConnection) return {};
  const {promptParts} = call.requestMetadata;
  return {
    hadHeaders: outcome.lostConnection.hadHeaders,
    fingerprint: call.profile.fingerprint(),
    promptParts: promptParts.map(({id}) => id).join(',') || undefined,
  };
}

function statusOf(outcome: AttemptOutcome): number | undefined {
  if (outcome.kind === 'answered') return outcome.status;
  return outcome.kind === 'heldAnswer' ? outcome.response.status : undefined;
}

function roundAgeMs(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

function roundToHundredths(value: number): number {
  return Number(value.toFixed(2));
}
