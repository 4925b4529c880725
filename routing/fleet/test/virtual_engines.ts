import {decideAdmission} from '@sardinestile/admission';
import {createSeededRandom} from '@sardinestile/types';
import {
  createUpstreamFleet,
  placeRequest,
  type ResourceCosts,
  type UpstreamFleet,
  type PlacementRequest,
  type UpstreamRecord,
} from '../src/index.js';

/**
 * Duration of a decode step. The engines batch: each step generates one token
 * for every stream and prefills a chunk of one prompt.
 */
const STEP_MS = 6;
const PREFILL_TOKENS_PER_MS = 45;
const CHUNK_TOKENS = 1_024;
const TOKENS_PER_EVENT = 4;
const BYTES_PER_TOKEN = 20_000;

/** Time that callers wait for a response. */
const CALLER_TIMEOUT_MS = 5_000;

/**
 * Cost of attention: a chunk takes longer the more tokens of its prompt are
 * prefilled already. The unit is pairs of tokens.
 */
const MS_PER_MILLION_PAIRS = 0.7;

/** Kind of requests that a simulated load consists of. */
export interface LoadKind {
  name: string;
  requestsPerSecond: number;
  sharedTokens: number;
  prefixCount: number;
  ownTokens: number;
  events: number;
  targetLatencyMs: number;
  targetGapMs: number;
  urgency: number;
}

/** Results for the requests of one kind. */
export interface KindResult {
  sent: number;
  /** Requests whose first event and gaps between events met their targets. */
  onTime: number;
  recomputedTokens: number;
  copiedTokens: number;
}

/** Engine that a policy chose. */
export interface ChosenEngine {
  id: string;
  /** Id of the engine to copy the shared part from; absent for no copy. */
  copyFrom?: string;
}

/** Returns the engine for a request; undefined to refuse it. */
export type PlacementPolicy = (
  fleet: UpstreamFleet,
  request: PlacementRequest,
  nowMs: number,
) => ChosenEngine | undefined;

/** Options for simulateLoad. */
export interface SimulationOptions {
  engineCount: number;
  seed: number;
  durationMs?: number;
  /** Speed of copies between engines; 0 (the default) for no copies. */
  transferMbps?: number;
  /** Costs of the placement under test; its defaults if absent. */
  resourceCosts?: ResourceCosts;
}

/** Placement under test. */
export const placeByFleet: PlacementPolicy = (fleet, request, nowMs) => {
  const {upstream, copyPromptFrom} = placeRequest(fleet, request, nowMs)!;
  return {id: upstream.id, copyFrom: copyPromptFrom?.id};
};

/** Placement under test, with admission control by the expected wait. */
export const placeAdmitted: PlacementPolicy = (fleet, request, nowMs) => {
  const {upstream, expectedWaitMs, expectedFirstEventMs} = placeRequest(
    fleet,
    request,
    nowMs,
  )!;
  const serviceTimeMs = expectedFirstEventMs - expectedWaitMs;
  const {kind} = decideAdmission({
    waitMs: expectedWaitMs,
    serviceTimeMs,
    typicalServiceTimeMs: serviceTimeMs,
    targetLatencyMs: request.targetLatencyMs,
    timeLeftMs: CALLER_TIMEOUT_MS,
  });
  return kind === 'admit' ? {id: upstream.id} : undefined;
};

/** Baseline: chooses the engine with the fewest requests. */
export const placeLeastLoaded: PlacementPolicy = (fleet, request) =>
  fleet.membership
    .usableUpstreamsOf(request.service)
    .map(record => ({
      id: record.id,
      running: fleet.upstreamStateOf(record).running,
    }))
    .sort((a, b) => a.running - b.running)[0];

interface VirtualRequest {
  id: string;
  kind: LoadKind;
  arrivedMs: number;
  /** Time at which the copy of the shared part is complete. */
  readyAtMs: number;
  uncachedTokens: number;
  tokens: number;
  lastEventMs: number;
  isOnTime: boolean;
}

interface VirtualEngine {
  id: string;
  cached: Set<string>;
  prefilling: VirtualRequest[];
  streaming: VirtualRequest[];
  /** Time at which the current step ends. */
  freeAtMs: number;
}

/** Simulates a load on engines and returns the results of each kind. */
export function simulateLoad(
  kinds: readonly LoadKind[],
  place: PlacementPolicy,
  options: SimulationOptions,
): Map<string, KindResult> {
  const {engineCount, durationMs = 30_000, transferMbps = 0} = options;
  const {next: random} = createSeededRandom(options.seed);
  const fleet = createUpstreamFleet({
    traitsOf: () => ({
      slots: 64,
      memoryTokens: 250_000,
      bytesPerToken: BYTES_PER_TOKEN,
      transferMbps,
    }),
    shortestTargetGapMs: () => Math.min(...kinds.map(kind => kind.targetGapMs)),
    resourceCosts: options.resourceCosts,
  });
  const engines = createEngines(engineCount, fleet);
  const resultsByKind = new Map(
    kinds.map(({name}) => [
      name,
      {sent: 0, onTime: 0, recomputedTokens: 0, copiedTokens: 0},
    ]),
  );
  const arrivals = kinds
    .flatMap(kind => arrivalsOf(kind, random, durationMs))
    .sort((a, b) => a.atMs - b.atMs);
  const everPrefilled = new Set<string>();
  let nextArrival = 0;
  for (let nowMs = 0; nowMs < durationMs + 10_000; nowMs++) {
    while (arrivals[nextArrival]?.atMs <= nowMs) {
      const {kind, prefixIndex} = arrivals[nextArrival];
      const id = `r${nextArrival++}`;
      const part = `${kind.name}-${prefixIndex}`;
      const promptTokens = kind.sharedTokens + kind.ownTokens;
      const promptParts = [
        {id: part, tokens: kind.sharedTokens},
        {id, tokens: kind.ownTokens},
      ];
      const request = {
        ...kind,
        requestId: id,
        service: 's',
        promptTokens,
        promptParts,
        triedUpstreamIds: new Set<string>(),
      };
      const result = resultsByKind.get(kind.name)!;
      result.sent++;
      const chosen = place(fleet, request, nowMs);
      if (chosen === undefined) continue;
      const {id: upstreamId, copyFrom} = chosen;
      const engine = engines.find(candidate => candidate.id === upstreamId)!;
      const copySource = engines.find(({id}) => id === copyFrom);
      const isCopied =
        !engine.cached.has(part) && copySource?.cached.has(part) === true;
      const isCached = engine.cached.has(part) || isCopied;
      if (isCopied) result.copiedTokens += kind.sharedTokens;
      const copyMs = isCopied
        ? (kind.sharedTokens * BYTES_PER_TOKEN * 8) / (transferMbps * 1000)
        : 0;
      const uncachedTokens =
        kind.ownTokens + (isCached ? 0 : kind.sharedTokens);
      if (!isCached && everPrefilled.has(part)) {
        result.recomputedTokens += kind.sharedTokens;
      }
      everPrefilled.add(part);
      engine.cached.add(part);
      fleet.recordPlacement(
        'self',
        {...request, requestId: id, upstreamId, uncachedTokens},
        nowMs,
      );
      engine.prefilling.push({
        id,
        kind,
        arrivedMs: nowMs,
        readyAtMs: nowMs + copyMs,
        uncachedTokens,
        tokens: 0,
        lastEventMs: nowMs,
        isOnTime: true,
      });
      engine.prefilling.sort((a, b) => a.kind.urgency - b.kind.urgency);
    }
    for (const engine of engines) step(engine, fleet, resultsByKind, nowMs);
  }
  return resultsByKind;
}

function createEngines(count: number, fleet: UpstreamFleet): VirtualEngine[] {
  return Array.from({length: count}, (_, i) => {
    const record: UpstreamRecord = {
      id: `e${i}`,
      service: 's',
      address: `e${i}:1`,
      availabilityZone: 'a',
      places: 64,
      isLeaving: false,
      coldMs: 0,
      startedAtWallMs: 0,
    };
    fleet.membership.put(record, 0);
    return {
      id: record.id,
      cached: new Set<string>(),
      prefilling: [],
      streaming: [],
      freeAtMs: 0,
    };
  });
}

function arrivalsOf(kind: LoadKind, random: () => number, durationMs: number) {
  const arrivals: Array<{atMs: number; kind: LoadKind; prefixIndex: number}> =
    [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1_000) / kind.requestsPerSecond;
    if (atMs >= durationMs) return arrivals;
    const prefixIndex = Math.floor(random() * kind.prefixCount);
    arrivals.push({atMs, kind, prefixIndex});
  }
}

/** Completes the step that has ended and begins the next one. */
function step(
  engine: VirtualEngine,
  fleet: UpstreamFleet,
  resultsByKind: Map<string, KindResult>,
  nowMs: number,
): void {
  if (nowMs < engine.freeAtMs) return;
  let stepMs = engine.streaming.length > 0 ? STEP_MS : 0;
  for (const request of [...engine.streaming]) {
    request.tokens++;
    if (request.tokens % TOKENS_PER_EVENT !== 0) continue;
    recordEvent(request, nowMs);
    if (request.tokens / TOKENS_PER_EVENT < request.kind.events) continue;
    engine.streaming.splice(engine.streaming.indexOf(request), 1);
    fleet.recordEnd(engine.id, request.id, nowMs);
    if (request.isOnTime) resultsByKind.get(request.kind.name)!.onTime++;
  }
  const current = engine.prefilling.find(({readyAtMs}) => readyAtMs <= nowMs);
  if (current) {
    const tokens = Math.min(CHUNK_TOKENS, current.uncachedTokens);
    current.uncachedTokens -= tokens;
    const promptTokens = current.kind.sharedTokens + current.kind.ownTokens;
    const contextTokens = promptTokens - current.uncachedTokens;
    const pairsInMillions = (tokens * contextTokens) / 1e6;
    stepMs +=
      tokens / PREFILL_TOKENS_PER_MS + MS_PER_MILLION_PAIRS * pairsInMillions;
    if (current.uncachedTokens === 0) {
      engine.prefilling.splice(engine.prefilling.indexOf(current), 1);
      engine.streaming.push(current);
      const firstMs = nowMs + stepMs;
      current.isOnTime =
        firstMs - current.arrivedMs <= current.kind.targetLatencyMs;
      current.lastEventMs = firstMs;
      fleet.recordFirstEvent(engine.id, current.id, firstMs);
    }
  }
  engine.freeAtMs = nowMs + Math.max(1, stepMs);
}

function recordEvent(request: VirtualRequest, nowMs: number): void {
  const gapMs = nowMs - request.lastEventMs;
  if (gapMs > request.kind.targetGapMs) request.isOnTime = false;
  request.lastEventMs = nowMs;
}
