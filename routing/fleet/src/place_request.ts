import {hashText, rendezvousWeight} from '@sardinestile/placement';
import type {EngineTraits} from '@sardinestile/route_table';
import type {Fleet, ServiceState, UpstreamState} from './fleet.js';
import type {PlacementRequest, UpstreamRecord} from './fleet_types.js';
import {PAUSE_SHARE} from './prompt_partition.js';

/** Cost of a request that becomes late, in milliseconds of waiting. */
const LATE_COST_MS = 600;

/** Share of the streams beside a long prompt that were not late anyway. */
const HARM_SHARE = 0.5;

/** Cost of reading a shared part again, as a multiple of the time to read it. */
const REREAD_WEIGHT = 1;

/** Cost of copying a shared part, as a multiple of the time to copy it. */
const COPY_WEIGHT = 1;

/** Cost of each request that runs at the upstream already, in milliseconds. */
const RUNNING_COST_MS = 1;

/** Cost of a request that fails, in milliseconds of waiting; more than of a late one. */
const ERROR_COST_MS = 1_200;

/** Cost of the other side of the partition of long and short prompts, in milliseconds. */
const CROSSING_COST_MS = 250;

/** Share of an engine's memory that running prompts may take before others are preferred. */
const MEMORY_SHARE = 0.75;

/** Cost of an engine whose memory or places are full, in milliseconds. */
const FULL_COST_MS = 2_000;

/** Cost below which upstreams count as equal and the hash decides, in milliseconds. */
const TIE_MS = 4;

/** Fewest tokens that are worth a copy between engines. */
const MIN_COPY_TOKENS = 256;

/** Where a request goes, and what is expected of it there. */
export interface Placement {
  upstream: UpstreamRecord;
  state: UpstreamState;
  /** Prompt tokens that the engine has to read. */
  unreadTokens: number;
  /** Engine that cached parts are copied from. */
  copyFrom: UpstreamRecord | undefined;
  /** Time until the engine begins to read the prompt. */
  waitMs: number;
  /** Time to the first event. */
  firstEventMs: number;
}

interface Candidate extends Placement {
  costMs: number;
  weight: number;
}

interface PlacementContext {
  request: PlacementRequest;
  service: ServiceState;
  traits: EngineTraits | undefined;
  /** Tokens of the parts that other requests may share. */
  sharedTokens: number;
  isLong: boolean;
  longEngines: ReadonlySet<string>;
  /** Engine that holds most of the shared parts. */
  holder: {record: UpstreamRecord; tokens: number} | undefined;
  subject: number;
  nowMs: number;
}

/**
 * Chooses the upstream where a request costs least: its own wait, the streams
 * that reading its prompt makes late, and shared parts that are read again.
 * Among equals all gateways choose the same one, so that a part is read once.
 */
export function placeRequest(
  fleet: Fleet,
  request: PlacementRequest,
  nowMs: number,
): Placement | undefined {
  const records = untriedUpstreams(fleet, request);
  const states = records.map(record => fleet.stateOf(record));
  const context = createContext(fleet, request, records, states, nowMs);
  const hasUsable = states.some(({health}) => health.isUsable(nowMs));
  let best: Candidate | undefined;
  records.forEach((record, i) => {
    const state = states[i];
    if (hasUsable && !state.health.isUsable(nowMs)) return;
    const candidate = evaluate(context, record, state);
    if (!best || isBetter(candidate, best)) best = candidate;
  });
  return best;
}

/** The group's upstreams that the request was not sent to; all others once there is none. */
function untriedUpstreams(
  fleet: Fleet,
  {service, triedIds}: PlacementRequest,
): UpstreamRecord[] {
  const isUntried = ({id}: UpstreamRecord) => !triedIds.has(id);
  const mine = fleet.upstreamsOf(service).filter(isUntried);
  if (mine.length > 0) return mine;
  return fleet.membership.usableOf(service).filter(isUntried);
}

function createContext(
  fleet: Fleet,
  request: PlacementRequest,
  records: readonly UpstreamRecord[],
  states: readonly UpstreamState[],
  nowMs: number,
): PlacementContext {
  const service = fleet.serviceOf(request.service);
  const shared = sharedParts(request);
  const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
  const ownTokens = Math.max(0, request.promptTokens - sharedTokens);
  let holder: PlacementContext['holder'];
  records.forEach((record, i) => {
    const tokens = states[i].cache.readTokens(shared);
    if (!states[i].health.isUsable(nowMs)) return;
    if (tokens > (holder?.tokens ?? 0)) holder = {record, tokens};
  });
  return {
    request,
    service,
    traits: fleet.traitsOf(request.service),
    sharedTokens,
    isLong: service.partition.isLong(service.model.readMs(ownTokens)),
    longEngines: service.partition.longEngines(records, nowMs),
    holder,
    subject: hashText(shared.at(-1)?.id ?? ''),
    nowMs,
  };
}

function evaluate(
  context: PlacementContext,
  upstream: UpstreamRecord,
  state: UpstreamState,
): Candidate {
  const {request, service, sharedTokens, nowMs} = context;
  const {model} = service;
  const {slowness} = state.health;
  const cachedTokens = state.cache.cachedTokens(request.promptParts);
  const copy = copyTo(context, upstream, cachedTokens);
  const unreadTokens = Math.max(
    0,
    request.promptTokens - cachedTokens - copy.tokens,
  );
  const rereadTokens = Math.max(0, sharedTokens - cachedTokens - copy.tokens);
  const workMs = model.readMs(unreadTokens);
  const waitMs = state.prefill.waitMs(request.urgency, nowMs) * slowness;
  const firstEventMs =
    waitMs + copy.timeMs + (model.baseMs + workMs) * slowness;
  const costMs =
    firstEventMs +
    REREAD_WEIGHT * model.readMs(rereadTokens) +
    COPY_WEIGHT * copy.timeMs +
    LATE_COST_MS * latenessOf(firstEventMs, request.targetLatencyMs) +
    LATE_COST_MS * HARM_SHARE * harmedStreams(context, state, workMs) +
    crossingCost(context, upstream) +
    fullnessCost(context, upstream, state) +
    RUNNING_COST_MS * state.running +
    ERROR_COST_MS * state.health.errorRate(nowMs);
  return {
    upstream,
    state,
    unreadTokens,
    copyFrom: copy.from,
    waitMs,
    firstEventMs,
    costMs,
    weight: rendezvousWeight(context.subject, hashText(upstream.id)),
  };
}

/** What copying cached parts from their holder would bring. */
function copyTo(
  {holder, traits}: PlacementContext,
  upstream: UpstreamRecord,
  cachedTokens: number,
): {from: UpstreamRecord | undefined; tokens: number; timeMs: number} {
  const none = {from: undefined, tokens: 0, timeMs: 0};
  if (!holder || !traits || traits.transferMbps <= 0) return none;
  if (holder.record.id === upstream.id) return none;
  const tokens = holder.tokens - cachedTokens;
  if (tokens < MIN_COPY_TOKENS) return none;
  const bits = tokens * traits.bytesPerToken * 8;
  return {
    from: holder.record,
    tokens,
    timeMs: bits / (traits.transferMbps * 1000),
  };
}

/** Likelihood that a request is late, 0 to 1; rises around its target. */
function latenessOf(firstEventMs: number, targetMs: number): number {
  const steepness = 8;
  return 1 / (1 + Math.exp(-steepness * (firstEventMs / targetMs - 0.9)));
}

/** Streams at the upstream that reading the prompt makes late. */
function harmedStreams(
  {nowMs}: PlacementContext,
  state: UpstreamState,
  workMs: number,
): number {
  const readMs = state.prefill.totalMs(nowMs) + workMs;
  return state.streams.lateWithPause(readMs / PAUSE_SHARE);
}

function crossingCost(
  {isLong, longEngines}: PlacementContext,
  upstream: UpstreamRecord,
): number {
  return longEngines.has(upstream.id) === isLong ? 0 : CROSSING_COST_MS;
}

/** Full engines keep requests waiting and take memory from those that run. */
function fullnessCost(
  {request, traits}: PlacementContext,
  upstream: UpstreamRecord,
  state: UpstreamState,
): number {
  if (state.running >= upstream.places) return FULL_COST_MS;
  if (!traits) return 0;
  const tokens = state.runningTokens + request.promptTokens;
  return tokens > MEMORY_SHARE * traits.memoryTokens ? FULL_COST_MS : 0;
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
