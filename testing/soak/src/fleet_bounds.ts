import type {
  ReceivedRequest,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {CONTACT_MS, wasDisturbed, type Disturbance} from './disturbances.js';
import type {SoakCall} from './guarantees.js';

/** Crashes under one part, or one request, after which it must stay away. */
const CRASHES_OF_PART = 5;
const CRASHES_OF_REQUEST = 3;

/** Requests with the part, or arrivals of the request, that may still reach upstreams. */
const MAX_LATE_REQUESTS = 3;

/** Streams that may hold events of two software versions. */
const MAX_MIXED_STREAMS = 2;

/** Streams taken up from which the share that goes on is checked, and its least part of the share of new ones. */
const MIN_RESUMES = 12;
const MIN_RESUMED_SHARE = 0.5;

/** Window over which a stated limit is checked, in milliseconds. */
const LIMIT_WINDOW_MS = 4_000;

/** Requests in a window: so many times the limit, and so many more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** Time after a response with a limit from which the requests of its gateway count, in milliseconds. */
const LIMIT_TOLD_MS = 500;

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
  /** Bodies of requests that crash upstreams. */
  harmfulBodies: readonly string[];
  limits: readonly StatedLimit[];
}

/** Checks the bounds for all gateways together. Returns one text for each violation. */
export function checkFleetBounds(observed: FleetObservations): string[] {
  const callsById = new Map(observed.calls.map(call => [call.id, call]));
  const gatewayOf = ({requestId}: ReceivedRequest) =>
    callsById.get(requestId)?.gateway;
  const isInContact = (request: ReceivedRequest) =>
    !wasDisturbed(
      observed.disturbances,
      gatewayOf(request),
      request.receivedAtMs,
    );
  return [
    ...observed.harmfulParts.flatMap(part =>
      checkHarmful(observed.upstreams, isInContact, {
        name: part,
        crashes: CRASHES_OF_PART,
        isHarmful: ({headers}) =>
          String(headers['prompt-prefix']).includes(part),
      }),
    ),
    ...observed.harmfulBodies.flatMap(harmfulBody =>
      checkHarmful(observed.upstreams, isInContact, {
        name: harmfulBody,
        crashes: CRASHES_OF_REQUEST,
        isHarmful: ({body}) => body.toString() === harmfulBody,
      }),
    ),
    ...checkMixedStreams(observed.calls),
    ...checkResumes(observed),
    ...observed.limits.flatMap(limit =>
      checkLimit(limit, observed, isInContact, gatewayOf),
    ),
  ];
}

/** Returns the software versions that wrote the events of a stream, over its caller's tries. */
function versionsOf({response, resumes}: SoakCall): ReadonlySet<string> {
  const text = (resumes?.response?.body ?? '') + (response?.body ?? '');
  const events = text.matchAll(/event: (\S+)\nid: \d+\ndata: event \d+\n\n/g);
  return new Set([...events].map(match => match[1]));
}

function checkMixedStreams(calls: readonly SoakCall[]): string[] {
  const mixed = calls.filter(call => versionsOf(call).size > 1);
  return mixed.length > MAX_MIXED_STREAMS
    ? [
        `${mixed.length} streams hold events of two software versions, such as ${mixed[0].id}`,
      ]
    : [];
}

/** Checks that streams go on about as often as new ones begin, where that is possible. */
function checkResumes({
  calls,
  upstreams,
  disturbances,
}: FleetObservations): string[] {
  const isInContact = ({gateway, sentAtMs}: SoakCall) =>
    !wasDisturbed(disturbances, gateway, sentAtMs);
  const runsVersion = (version: string, atMs: number) =>
    upstreams.filter(
      ({softwareVersion, crashedAtMs = Infinity, startedAtMs, leftAtMs}) =>
        softwareVersion === version &&
        startedAtMs < atMs &&
        Math.min(crashedAtMs, leftAtMs) > atMs,
    ).length;
  const shareServed = (some: readonly SoakCall[]) =>
    some.filter(({response}) => response?.status === 200).length / some.length;
  const streams = calls.filter(
    call =>
      call.kind === 'resumable' &&
      !call.promptPart?.startsWith('bad') &&
      isInContact(call),
  );
  const resumes = streams.filter(
    ({resumes: broken, sentAtMs}) =>
      broken && runsVersion([...versionsOf(broken)][0], sentAtMs) >= 2,
  );
  const begun = streams.filter(call => !call.resumes);
  if (resumes.length < MIN_RESUMES || begun.length === 0) return [];
  const share = shareServed(resumes);
  return share < MIN_RESUMED_SHARE * shareServed(begun)
    ? [
        `of ${resumes.length} streams that were taken up ${Math.round(100 * share)}% went on`,
      ]
    : [];
}

/** Something that crashes upstreams. */
interface HarmfulKind {
  name: string;
  /** Crashes after which it must stay away. */
  crashes: number;
  isHarmful: (request: ReceivedRequest) => boolean;
}

function checkHarmful(
  upstreams: readonly UpstreamStandIn[],
  isInContact: (request: ReceivedRequest) => boolean,
  {name, crashes, isHarmful}: HarmfulKind,
): string[] {
  const crashTimesMs = upstreams
    .filter(({crashedBy}) => crashedBy && isHarmful(crashedBy))
    .map(({crashedAtMs}) => crashedAtMs!)
    .sort((a, b) => a - b);
  const stopMs = (crashTimesMs[crashes - 1] ?? Infinity) + CONTACT_MS;
  const late = upstreams
    .flatMap(({received}) => received)
    .filter(isHarmful)
    .filter(request => request.receivedAtMs > stopMs && isInContact(request));
  return late.length > MAX_LATE_REQUESTS
    ? [
        `${late.length} requests with ${name} reached upstreams after ${crashes} crashes`,
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
