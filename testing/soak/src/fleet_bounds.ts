import type {
  ReceivedRequest,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {SoakCall} from './guarantees.js';

/**
 * Time without a disturbance after which a gateway counts as in contact, and after
 * which it acts on what the fleet learned, in milliseconds.
 */
const CONTACT_MS = 3_000;

/** Crashes under one part after which requests with it must stay away. */
const CRASHES_BEFORE_STOP = 5;

/** Requests with the part that may still reach upstreams. */
const MAX_LATE_REQUESTS = 3;

/** Window over which a stated limit is checked, in milliseconds. */
const LIMIT_WINDOW_MS = 4_000;

/** Requests in a window: so many times the limit, and so many more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** Time after a response with a limit from which the requests of its gateway count, in milliseconds. */
const LIMIT_TOLD_MS = 500;

/** Time in which a fault affected a gateway. Times are by performance.now(). */
export interface Disturbance {
  /** Name of the gateway; absent if the fault affected all. */
  gateway?: string;
  fromMs: number;
  untilMs: number;
}

/** Time in which an upstream stated a limit. */
export interface StatedLimit {
  upstreamId: string;
  requestsPerS: number;
  fromMs: number;
  untilMs: number;
}

/** What a soak observed that concerns bounds for the fleet as a whole. */
export interface FleetObservations {
  calls: readonly SoakCall[];
  upstreams: readonly UpstreamStandIn[];
  disturbances: readonly Disturbance[];
  /** Prompt parts that crash upstreams. */
  harmfulParts: readonly string[];
  limits: readonly StatedLimit[];
}

/** Checks the bounds for all gateways together. Returns one text for each violation. */
export function checkFleetBounds(observed: FleetObservations): string[] {
  const callsById = new Map(observed.calls.map(call => [call.id, call]));
  const isInContact = ({requestId, receivedAtMs}: ReceivedRequest) => {
    const gateway = callsById.get(requestId)?.gateway;
    return !observed.disturbances.some(
      disturbance =>
        (disturbance.gateway ?? gateway) === gateway &&
        disturbance.fromMs <= receivedAtMs &&
        disturbance.untilMs > receivedAtMs - CONTACT_MS,
    );
  };
  const gatewayOf = ({requestId}: ReceivedRequest) =>
    callsById.get(requestId)?.gateway;
  return [
    ...observed.harmfulParts.flatMap(part =>
      checkHarmfulPart(part, observed.upstreams, isInContact),
    ),
    ...observed.limits.flatMap(limit =>
      checkLimit(limit, observed, isInContact, gatewayOf),
    ),
  ];
}

function checkHarmfulPart(
  part: string,
  upstreams: readonly UpstreamStandIn[],
  isInContact: (request: ReceivedRequest) => boolean,
): string[] {
  const hasPart = ({headers}: ReceivedRequest) =>
    String(headers['prompt-prefix']).includes(part);
  const crashTimesMs = upstreams
    .filter(({crashedBy}) => crashedBy && hasPart(crashedBy))
    .map(({crashedAtMs}) => crashedAtMs!)
    .sort((a, b) => a - b);
  const stopMs =
    (crashTimesMs[CRASHES_BEFORE_STOP - 1] ?? Infinity) + CONTACT_MS;
  const late = upstreams
    .flatMap(({received}) => received)
    .filter(hasPart)
    .filter(request => request.receivedAtMs > stopMs && isInContact(request));
  return late.length > MAX_LATE_REQUESTS
    ? [
        `${late.length} requests with ${part} reached upstreams after ${CRASHES_BEFORE_STOP} crashes`,
      ]
    : [];
}

function checkLimit(
  {upstreamId, requestsPerS, fromMs, untilMs}: StatedLimit,
  {calls, upstreams}: FleetObservations,
  isInContact: (request: ReceivedRequest) => boolean,
  gatewayOf: (request: ReceivedRequest) => string | undefined,
): string[] {
  const toldAtMs = new Map<string, number>();
  for (const {gateway, response, endedAtMs} of calls) {
    if (endedAtMs === undefined || response === undefined) continue;
    const {headers} = response;
    const isFromUpstream = headers['response-stamp']?.startsWith(
      `${upstreamId}.`,
    );
    if (!isFromUpstream || headers['server-limit'] === undefined) continue;
    if (endedAtMs < fromMs) continue;
    const knownMs = toldAtMs.get(gateway) ?? Infinity;
    toldAtMs.set(gateway, Math.min(knownMs, endedAtMs));
  }
  const times = upstreams
    .flatMap(({id, received}) => (id === upstreamId ? received : []))
    .filter(
      request =>
        request.receivedAtMs >= fromMs + CONTACT_MS &&
        request.receivedAtMs < untilMs &&
        request.receivedAtMs >=
          (toldAtMs.get(gatewayOf(request) ?? '') ?? Infinity) +
            LIMIT_TOLD_MS &&
        isInContact(request),
    )
    .map(({receivedAtMs}) => receivedAtMs);
  const most = Math.max(
    0,
    ...times.map(
      start =>
        times.filter(t => t >= start && t < start + LIMIT_WINDOW_MS).length,
    ),
  );
  const allowed =
    LIMIT_FACTOR * requestsPerS * (LIMIT_WINDOW_MS / 1_000) + LIMIT_SLACK;
  return most > allowed
    ? [
        `${upstreamId} got ${most} requests in ${LIMIT_WINDOW_MS} ms at a limit of ${requestsPerS} a second`,
      ]
    : [];
}
