import {hashText, rendezvousWeight} from '@sardinestile/placement';
import type {Fleet, UpstreamState} from './fleet.js';
import type {PlacementRequest, UpstreamRecord} from './fleet_types.js';

/** Extra cost of reading a shared part again, as a share of the time to read it. */
const REREAD_WEIGHT = 1;

/** Cost of each request that runs at the upstream already, in milliseconds. */
const RUNNING_COST_MS = 1;

/** Cost of an upstream that fails every request, in milliseconds. */
const ERROR_COST_MS = 3_000;

/** Cost below which upstreams count as equal and the hash decides, in milliseconds. */
const TIE_MS = 4;

/** Where a request goes, and what is expected of it there. */
export interface Placement {
  upstream: UpstreamRecord;
  state: UpstreamState;
  /** Prompt tokens that the engine has to read. */
  unreadTokens: number;
  /** Time until the engine begins to read the prompt. */
  waitMs: number;
  /** Time to the first event. */
  firstEventMs: number;
}

interface Candidate extends Placement {
  costMs: number;
  weight: number;
}

/**
 * Chooses the upstream that serves a request soonest, counting what reading
 * shared parts again takes from others. Without cached parts all gateways
 * choose the same upstream among equals, so that a part is read once.
 */
export function placeRequest(
  fleet: Fleet,
  request: PlacementRequest,
  nowMs: number,
): Placement | undefined {
  const records = fleet.membership
    .usableOf(request.service)
    .filter(({id}) => !request.triedIds.has(id));
  const states = records.map(record => fleet.stateOf(record));
  const hasUsable = states.some(({health}) => health.isUsable(nowMs));
  const subject = subjectHash(request);
  let best: Candidate | undefined;
  records.forEach((record, i) => {
    const state = states[i];
    if (hasUsable && !state.health.isUsable(nowMs)) return;
    const candidate = evaluate(fleet, request, record, state, subject, nowMs);
    if (!best || isBetter(candidate, best)) best = candidate;
  });
  return best;
}

function evaluate(
  fleet: Fleet,
  request: PlacementRequest,
  upstream: UpstreamRecord,
  state: UpstreamState,
  subject: number,
  nowMs: number,
): Candidate {
  const model = fleet.modelOf(request.service);
  const {slowness, errorRate} = state.health;
  const cachedTokens = state.cache.cachedTokens(request.promptParts);
  const unreadTokens = Math.max(0, request.promptTokens - cachedTokens);
  const sharedTokens = sharedParts(request).reduce((sum, p) => sum + p.tokens, 0);
  const rereadMs = model.readMs(Math.max(0, sharedTokens - cachedTokens));
  const waitMs = state.prefill.waitMs(request.urgency, nowMs) * slowness;
  const firstEventMs =
    waitMs + (model.baseMs + model.readMs(unreadTokens)) * slowness;
  const costMs =
    firstEventMs +
    REREAD_WEIGHT * rereadMs +
    RUNNING_COST_MS * state.running +
    ERROR_COST_MS * errorRate ** 2;
  const weight = rendezvousWeight(subject, hashText(upstream.id));
  return {upstream, state, unreadTokens, waitMs, firstEventMs, costMs, weight};
}

function isBetter(a: Candidate, b: Candidate): boolean {
  const difference = a.costMs - b.costMs;
  if (Math.abs(difference) > TIE_MS) return difference < 0;
  return a.weight > b.weight;
}

/** The parts that other requests may share; the last part is the request's own. */
function sharedParts({promptParts}: PlacementRequest) {
  return promptParts.slice(0, -1);
}

/** Identifies what the request is about: the last shared part of its prompt. */
function subjectHash(request: PlacementRequest): number {
  return hashText(sharedParts(request).at(-1)?.id ?? '');
}
