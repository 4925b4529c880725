import type {
  ReceivedRequest,
  UpstreamBehaviour,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {wasDisturbed, type Disturbance} from './disturbances.js';
import {SOAK_BOUNDS} from './gateway_process.js';
import type {SoakCall} from './guarantees.js';

/** Time limit of every route, in milliseconds. */
const ROUTE_TIMEOUT_MS = 5_000;

/** Time after its last byte for which a request that was not run may be cut off, in milliseconds. */
const LOSS_SLACK_MS = 200;

/** Time after SIGTERM within which requests must be finished or refused, in milliseconds. */
const STOP_WINDOW_MS = SOAK_BOUNDS.grace_s * 1_000 + 1_000;

/** Time after SIGTERM from which running requests may be cut off, if they were sent this soon after it, in milliseconds. */
const LAST_SIXTH_MS = (SOAK_BOUNDS.grace_s * 1_000 * 5) / 6;
const SENT_IN_TIME_MS = 3_000;

/** Behaviours with which an upstream breaks off its own response. */
const BREAKING_BEHAVIOURS: ReadonlySet<UpstreamBehaviour['kind'] | undefined> =
  new Set(['reset', 'truncate', 'resetUnframed', 'crossed', 'crash']);

/** A signal that was sent to a gateway as planned work. */
export interface PlannedSignal {
  gateway: string;
  signal: 'SIGTERM' | 'SIGHUP';
  /** Time by performance.now(). */
  atMs: number;
}

/** What a soak observed that concerns requests around planned work. */
export interface LossObservations {
  calls: readonly SoakCall[];
  upstreams: readonly UpstreamStandIn[];
  disturbances: readonly Disturbance[];
  plannedSignals: readonly PlannedSignal[];
}

/** A run of a request at an upstream. */
interface Run {
  upstream: UpstreamStandIn;
  request: ReceivedRequest;
}

/**
 * Checks that no gateway loses a request around planned work: one that was run, or
 * that was cut off late, ends with a whole answer. Returns one text for each request.
 */
export function checkLostRequests(observed: LossObservations): string[] {
  const unplanned = observed.disturbances.filter(({isPlanned}) => !isPlanned);
  const runsById = collectRuns(observed.upstreams);
  return observed.calls.flatMap(call => {
    const {id, gateway, sentAtMs, endedAtMs, response} = call;
    if (endedAtMs === undefined || response?.isComplete) return [];
    const signals = observed.plannedSignals.filter(
      planned =>
        planned.gateway === gateway && isAround(planned, sentAtMs, endedAtMs),
    );
    const runs = runsById.get(id) ?? [];
    const isExcused =
      signals.length === 0 ||
      wasDisturbed(unplanned, gateway, sentAtMs, endedAtMs) ||
      isAllowedEnd(call, endedAtMs, runs, signals);
    if (isExcused) return [];
    return [describeLoss(call, endedAtMs, runs, signals)];
  });
}

function describeLoss(
  {id, kind, gateway, sentAtMs, hasTimedOut, response}: SoakCall,
  endedAtMs: number,
  runs: readonly Run[],
  signals: readonly PlannedSignal[],
): string {
  const ran = runs.map(({upstream}) => upstream.id).join(', ');
  const outcome = hasTimedOut
    ? 'timed out'
    : `ended with status ${response?.status} and ${response?.body.length} bytes`;
  const before = signals.map(
    ({signal, atMs}) => `${signal} ${Math.round(endedAtMs - atMs)} ms`,
  );
  return (
    `${id} (${kind}) at ${gateway} was lost: ${ran ? `run by ${ran}` : 'not run'}, ` +
    `${outcome} ${Math.round(endedAtMs - sentAtMs)} ms after it was sent; ` +
    `signals before its end: ${before.join(', ')}`
  );
}

function collectRuns(
  upstreams: readonly UpstreamStandIn[],
): ReadonlyMap<string, Run[]> {
  const runs = new Map<string, Run[]>();
  for (const upstream of upstreams) {
    for (const request of upstream.received) {
      if (!request.wasProcessed) continue;
      const known = runs.get(request.requestId) ?? [];
      runs.set(request.requestId, [...known, {upstream, request}]);
    }
  }
  return runs;
}

const IS_AROUND: Readonly<
  Record<
    PlannedSignal['signal'],
    (atMs: number, sentAtMs: number, endedAtMs: number) => boolean
  >
> = {
  SIGTERM: (atMs, sentAtMs, endedAtMs) =>
    endedAtMs >= atMs && sentAtMs <= atMs + STOP_WINDOW_MS,
  SIGHUP: (atMs, sentAtMs, endedAtMs) =>
    endedAtMs >= atMs && sentAtMs <= atMs + SOAK_BOUNDS.config_apply_ms,
};

function isAround(
  {signal, atMs}: PlannedSignal,
  sentAtMs: number,
  endedAtMs: number,
): boolean {
  return IS_AROUND[signal](atMs, sentAtMs, endedAtMs);
}

/** Whether a call that got no whole answer was not lost by its gateway. */
function isAllowedEnd(
  {sentAtMs, sentWholeAtMs, readFromMs = 0, hasTimedOut, openUntilMs}: SoakCall,
  endedAtMs: number,
  runs: readonly Run[],
  signals: readonly PlannedSignal[],
): boolean {
  if (hasTimedOut) return sentWholeAtMs === undefined;
  if (endedAtMs - sentAtMs >= ROUTE_TIMEOUT_MS) return true;
  if (runs.length === 0) {
    if (sentWholeAtMs === undefined) return true;
    // A caller that does not read sees the end of its connection late.
    const knownFromMs = Math.max(sentWholeAtMs, readFromMs);
    return (openUntilMs ?? endedAtMs) - knownFromMs <= LOSS_SLACK_MS;
  }
  return runs.some(
    ({upstream, request}) =>
      BREAKING_BEHAVIOURS.has(request.behaviour) ||
      (upstream.crashedAtMs ?? Infinity) <= endedAtMs ||
      signals.some(
        ({signal, atMs}) =>
          signal === 'SIGTERM' &&
          sentAtMs <= atMs + SENT_IN_TIME_MS &&
          endedAtMs >= atMs + LAST_SIXTH_MS &&
          (request.endedAtMs ?? Infinity) >= atMs + LAST_SIXTH_MS,
      ),
  );
}
