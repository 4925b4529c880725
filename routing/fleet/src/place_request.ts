import {hashText, rendezvousWeight} from '@sardinestile/placement';
import type {EngineTraits} from '@sardinestile/route_table';
import type {
  UpstreamFleet,
  ServiceState,
  UpstreamState,
} from './upstream_fleet.js';
import type {PlacementRequest, UpstreamRecord} from './fleet_types.js';
import {
  firstEventCostMs,
  LATE_COST_MS,
  resourceCostMs,
  type ResourceCosts,
} from './placement_cost.js';
import {PREFILL_GAP_SHARE} from './prompt_partition.js';
import {countTokens, ownTokens, sharedParts} from './prompt_tokens.js';
import {waitUntilTakenMs} from './service_pause.js';

/**
 * Assumed share of the streams on an engine that are on time without the
 * request; only these become late because of it.
 */
const ON_TIME_STREAM_SHARE = 0.5;

/** Cost added for each request that is already at the upstream. */
const RUNNING_COST_MS = 1;

/** Cost of a request that fails; higher than that of a late one. */
const ERROR_COST_MS = 1_200;

/** Cost of a short prompt on an engine for long prompts. */
const PARTITION_MISMATCH_COST_MS = 250;

/**
 * Share of the memory of an engine that the prompts of its requests fill before
 * it counts as full.
 */
const MEMORY_SHARE = 0.75;

/** Cost of an engine whose memory or slots are full. */
const SATURATION_COST_MS = 2_000;

/**
 * Cost difference up to which two upstreams count as equal and the hash
 * decides.
 */
const TIE_THRESHOLD_MS = 4;

/** Minimum number of cached tokens that are copied between engines. */
const MIN_COPY_TOKENS = 256;

/** Upstream chosen for a request, with the expected times. */
export interface Placement {
  upstream: UpstreamRecord;
  state: UpstreamState;
  /**
   * Prompt tokens that are not cached or copied, so that the engine prefills
   * them.
   */
  uncachedTokens: number;
  /** Engine to copy cached prompt parts from; undefined for no copy. */
  copyPromptFrom: UpstreamRecord | undefined;
  /** Expected time until the prefill of the prompt begins. */
  expectedWaitMs: number;
  /** Expected time to the first event, the wait included. */
  expectedFirstEventMs: number;
}

interface Candidate extends Placement {
  costMs: number;
  /** Decides between candidates of equal cost; the highest wins. */
  affinityWeight: number;
}

interface PlacementContext {
  request: PlacementRequest;
  service: ServiceState;
  traits: EngineTraits | undefined;
  resourceCosts: ResourceCosts;
  /** Tokens of the prompt parts that other requests may share. */
  sharedTokens: number;
  isLongPrompt: boolean;
  longPromptEngines: ReadonlySet<string>;
  /** Engine that has prefilled the most tokens of the shared parts. */
  copySource: {record: UpstreamRecord; tokens: number} | undefined;
  affinityHash: number;
  unheardRequests: UpstreamFleet['unheardRequests'];
  nowMs: number;
}

/**
 * Chooses the upstream with the lowest cost for a request; undefined if there
 * is none that was not tried. The main costs are the wait of the request, the
 * streams that its prefill makes late, and shared parts that are recomputed.
 * Between upstreams of equal cost all gateways choose the same one, so that a
 * shared part is prefilled only once; requests without shared parts are spread.
 */
export function placeRequest(
  fleet: UpstreamFleet,
  request: PlacementRequest,
  nowMs: number,
): Placement | undefined {
  const records = eligibleUpstreams(fleet, request, nowMs);
  const states = records.map(record => fleet.upstreamStateOf(record));
  const context = createContext(fleet, request, records, states, nowMs);
  const hasUsable = states.some(({health}) => health.isUsable(nowMs));
  let best: Candidate | undefined;
  records.forEach((record, i) => {
    const state = states[i];
    if (hasUsable && !state.health.isUsable(nowMs)) return;
    const candidate = evaluate(context, record, state);
    if (!best || isBetter(context, candidate, best)) best = candidate;
  });
  return best;
}

/**
 * Returns the upstreams of this gateway's group that the request was not sent
 * to, that have its software version and that take requests; if there are none, those of all groups.
 */
function eligibleUpstreams(
  fleet: UpstreamFleet,
  {service, triedUpstreamIds, softwareVersion}: PlacementRequest,
  nowMs: number,
): UpstreamRecord[] {
  const isEligible = (record: UpstreamRecord) =>
    !triedUpstreamIds.has(record.id) &&
    (softwareVersion === undefined ||
      fleet.coldUpstreams.versionOf(record) === softwareVersion) &&
    waitUntilTakenMs(fleet, record, nowMs) === 0;
  const groupRecords = fleet.upstreamsOf(service).filter(isEligible);
  if (groupRecords.length > 0) return groupRecords;
  // What other groups send is not known here, so that limits are left to them.
  return fleet.membership
    .usableUpstreamsOf(service)
    .filter(
      record =>
        isEligible(record) &&
        !fleet.requestLimits.isLimited(record) &&
        fleet.coldUpstreams.ratePerS(record, nowMs) === undefined,
    );
}

function createContext(
  fleet: UpstreamFleet,
  request: PlacementRequest,
  records: readonly UpstreamRecord[],
  states: readonly UpstreamState[],
  nowMs: number,
): PlacementContext {
  const service = fleet.serviceStateOf(request.service);
  const shared = sharedParts(request);
  let copySource: PlacementContext['copySource'];
  records.forEach((record, i) => {
    const tokens = states[i].cache.prefilledTokens(shared);
    if (!states[i].health.isUsable(nowMs)) return;
    // A copy would count as a request to an upstream that takes few.
    if (fleet.coldUpstreams.ratePerS(record, nowMs) !== undefined) return;
    if (tokens > (copySource?.tokens ?? 0)) copySource = {record, tokens};
  });
  return {
    request,
    service,
    traits: fleet.traitsOf(request.service),
    resourceCosts: fleet.resourceCosts,
    sharedTokens: countTokens(shared),
    isLongPrompt: service.partition.isLong({
      prefillMs: service.model.estimatePrefillMs(ownTokens(request)),
      targetGapMs: request.targetGapMs,
    }),
    longPromptEngines: service.partition.longPromptEngines(records, nowMs),
    copySource,
    affinityHash: hashText(shared.at(-1)?.id ?? request.requestId),
    unheardRequests: fleet.unheardRequests,
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
  const copy = planCopy(context, upstream, cachedTokens);
  const uncachedTokens = Math.max(
    0,
    request.promptTokens - cachedTokens - copy.tokens,
  );
  const recomputedTokens = Math.max(
    0,
    sharedTokens - cachedTokens - copy.tokens,
  );
  const prefillMs = model.estimatePrefillMs(uncachedTokens);
  const running = state.running + context.unheardRequests(upstream, nowMs);
  const expectedWaitMs =
    state.prefillQueue.waitMs(request.urgency, nowMs) * slowness;
  const expectedFirstEventMs =
    expectedWaitMs + copy.timeMs + (model.overheadMs + prefillMs) * slowness;
  const costMs =
    firstEventCostMs(expectedFirstEventMs, request.targetLatencyMs) +
    resourceCostMs(context.resourceCosts, {
      copiedTokens: copy.tokens,
      recomputedTokens,
      displacedTokens: state.cache.displacedTokens,
      prefillMs: model.estimatePrefillMs,
    }) +
    LATE_COST_MS *
      ON_TIME_STREAM_SHARE *
      delayedStreamCount(context, state, prefillMs) +
    partitionMismatchCostMs(context, upstream) +
    saturationCostMs(context, upstream, state, running) +
    RUNNING_COST_MS * running +
    ERROR_COST_MS * state.health.errorRate(nowMs);
  return {
    upstream,
    state,
    uncachedTokens,
    copyPromptFrom: copy.from,
    expectedWaitMs,
    expectedFirstEventMs,
    costMs,
    affinityWeight: rendezvousWeight(
      context.affinityHash,
      hashText(upstream.id),
    ),
  };
}

/**
 * Returns the tokens that can be copied from the copy source and the time that
 * the copy takes.
 */
function planCopy(
  {copySource, traits}: PlacementContext,
  upstream: UpstreamRecord,
  cachedTokens: number,
): {from: UpstreamRecord | undefined; tokens: number; timeMs: number} {
  const noCopy = {from: undefined, tokens: 0, timeMs: 0};
  if (!copySource || !traits || traits.transferMbps <= 0) return noCopy;
  if (copySource.record.id === upstream.id) return noCopy;
  const tokens = copySource.tokens - cachedTokens;
  if (tokens < MIN_COPY_TOKENS) return noCopy;
  const bits = tokens * traits.bytesPerToken * 8;
  return {
    from: copySource.record,
    tokens,
    timeMs: bits / (traits.transferMbps * 1000),
  };
}

/** Number of streams at the upstream that the prefill makes late. */
function delayedStreamCount(
  {nowMs}: PlacementContext,
  state: UpstreamState,
  prefillMs: number,
): number {
  const totalPrefillMs = state.prefillQueue.totalMs(nowMs) + prefillMs;
  return state.streams.countLateAfterPause(totalPrefillMs / PREFILL_GAP_SHARE);
}

function partitionMismatchCostMs(
  {isLongPrompt, longPromptEngines}: PlacementContext,
  upstream: UpstreamRecord,
): number {
  if (longPromptEngines.has(upstream.id) === isLongPrompt) return 0;
  // A long prompt makes about one stream late that runs there, or begins there soon.
  return isLongPrompt ? LATE_COST_MS : PARTITION_MISMATCH_COST_MS;
}

/**
 * A full engine queues the request or takes memory from its running requests.
 */
function saturationCostMs(
  {request, traits}: PlacementContext,
  upstream: UpstreamRecord,
  state: UpstreamState,
  running: number,
): number {
  if (running >= upstream.places) return SATURATION_COST_MS;
  if (!traits) return 0;
  const tokens = state.runningPromptTokens + request.promptTokens;
  return tokens > MEMORY_SHARE * traits.memoryTokens ? SATURATION_COST_MS : 0;
}

function isBetter(
  {sharedTokens}: PlacementContext,
  a: Candidate,
  b: Candidate,
): boolean {
  const difference = a.costMs - b.costMs;
  // Requests that share nothing gain nothing by going to the same upstream.
  const thresholdMs = sharedTokens > 0 ? TIE_THRESHOLD_MS : 0;
  if (Math.abs(difference) > thresholdMs) return difference < 0;
  return a.affinityWeight > b.affinityWeight;
}
