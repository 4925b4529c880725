import {decideAdmission} from '@sardinestile/admission';
import {createSeededRandom} from '@sardinestile/types';
import {
  createFleet,
  placeRequest,
  type Fleet,
  type PlacementRequest,
  type UpstreamRecord,
} from '../src/index.js';

/** Engines that batch: each step makes a token of every stream and reads a chunk of one prompt. */
const STEP_MS = 6;
const READ_TOKENS_PER_MS = 45;
const CHUNK_TOKENS = 1_024;
const TOKENS_PER_EVENT = 4;

/** Time that callers wait. */
const PATIENCE_MS = 5_000;

/** Attention: a chunk takes longer the more of its prompt was read before. */
const MS_PER_MILLION_PAIRS = 0.7;

/** A kind of request of the load. */
export interface LoadKind {
  name: string;
  perSecond: number;
  sharedTokens: number;
  subjects: number;
  ownTokens: number;
  events: number;
  targetLatencyMs: number;
  targetGapMs: number;
  urgency: number;
}

/** What callers of one kind got. */
export interface ServedKind {
  asked: number;
  /** First event within its target and no gap over its target. */
  onTime: number;
  rereadTokens: number;
}

/** Chooses an engine for a request; undefined refuses it. */
export type Placer = (
  fleet: Fleet,
  request: PlacementRequest,
  nowMs: number,
) => string | undefined;

/** The placement under test. */
export const placeByFleet: Placer = (fleet, request, nowMs) =>
  placeRequest(fleet, request, nowMs)!.upstream.id;

/** The same with refusals at once by the predicted wait. */
export const placeAdmitted: Placer = (fleet, request, nowMs) => {
  const {upstream, waitMs, firstEventMs} = placeRequest(fleet, request, nowMs)!;
  const workMs = firstEventMs - waitMs;
  const {kind} = decideAdmission({
    waitMs,
    workMs,
    usualWorkMs: workMs,
    targetLatencyMs: request.targetLatencyMs,
    timeLeftMs: PATIENCE_MS,
  });
  return kind === 'admit' ? upstream.id : undefined;
};

/** Baseline: the engine with the fewest requests. */
export const placeLeastLoaded: Placer = (fleet, request) =>
  fleet.membership
    .usableOf(request.service)
    .map(record => ({id: record.id, running: fleet.stateOf(record).running}))
    .sort((a, b) => a.running - b.running)[0].id;

interface VirtualRequest {
  id: string;
  kind: LoadKind;
  arrivedMs: number;
  unreadTokens: number;
  tokens: number;
  lastEventMs: number;
  isOnTime: boolean;
}

interface VirtualEngine {
  id: string;
  cached: Set<string>;
  reading: VirtualRequest[];
  streaming: VirtualRequest[];
  /** When its current step ends. */
  freeAtMs: number;
}

/** Plays a load on engines and tells what callers of each kind got. */
export function playLoad(
  kinds: readonly LoadKind[],
  engineCount: number,
  place: Placer,
  seed: number,
  lengthMs = 30_000,
): Map<string, ServedKind> {
  const {next: random} = createSeededRandom(seed);
  const fleet = createFleet({
    traitsOf: () => ({
      slots: 64,
      memoryTokens: 250_000,
      bytesPerToken: 160_000,
      transferMbps: 0,
    }),
    shortestGapMs: () => Math.min(...kinds.map(kind => kind.targetGapMs)),
  });
  const engines = createEngines(engineCount, fleet);
  const served = new Map(
    kinds.map(({name}) => [name, {asked: 0, onTime: 0, rereadTokens: 0}]),
  );
  const arrivals = kinds
    .flatMap(kind => arrivalsOf(kind, random, lengthMs))
    .sort((a, b) => a.atMs - b.atMs);
  const everRead = new Set<string>();
  let nextArrival = 0;
  for (let nowMs = 0; nowMs < lengthMs + 10_000; nowMs++) {
    while (arrivals[nextArrival]?.atMs <= nowMs) {
      const {kind, subject} = arrivals[nextArrival];
      const id = `r${nextArrival++}`;
      const part = `${kind.name}-${subject}`;
      const promptTokens = kind.sharedTokens + kind.ownTokens;
      const promptParts = [
        {id: part, tokens: kind.sharedTokens},
        {id, tokens: kind.ownTokens},
      ];
      const request = {
        ...kind,
        service: 's',
        promptTokens,
        promptParts,
        triedIds: new Set<string>(),
      };
      const result = served.get(kind.name)!;
      result.asked++;
      const upstreamId = place(fleet, request, nowMs);
      if (upstreamId === undefined) continue;
      const engine = engines.find(candidate => candidate.id === upstreamId)!;
      const isCached = engine.cached.has(part);
      const unreadTokens = kind.ownTokens + (isCached ? 0 : kind.sharedTokens);
      if (!isCached && everRead.has(part)) {
        result.rereadTokens += kind.sharedTokens;
      }
      everRead.add(part);
      engine.cached.add(part);
      fleet.recordPlaced(
        'self',
        {...request, requestId: id, upstreamId, unreadTokens},
        nowMs,
      );
      engine.reading.push({
        id,
        kind,
        arrivedMs: nowMs,
        unreadTokens,
        tokens: 0,
        lastEventMs: nowMs,
        isOnTime: true,
      });
      engine.reading.sort((a, b) => a.kind.urgency - b.kind.urgency);
    }
    for (const engine of engines) step(engine, fleet, served, nowMs);
  }
  return served;
}

function createEngines(count: number, fleet: Fleet): VirtualEngine[] {
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
    fleet.membership.put(record);
    return {
      id: record.id,
      cached: new Set<string>(),
      reading: [],
      streaming: [],
      freeAtMs: 0,
    };
  });
}

function arrivalsOf(kind: LoadKind, random: () => number, lengthMs: number) {
  const arrivals: Array<{atMs: number; kind: LoadKind; subject: number}> = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1_000) / kind.perSecond;
    if (atMs >= lengthMs) return arrivals;
    const subject = Math.floor(random() * kind.subjects);
    arrivals.push({atMs, kind, subject});
  }
}

/** Ends the step that is over and begins the next one. */
function step(
  engine: VirtualEngine,
  fleet: Fleet,
  served: Map<string, ServedKind>,
  nowMs: number,
): void {
  if (nowMs < engine.freeAtMs) return;
  let stepMs = engine.streaming.length > 0 ? STEP_MS : 0;
  for (const request of [...engine.streaming]) {
    request.tokens++;
    if (request.tokens % TOKENS_PER_EVENT !== 0) continue;
    noteEvent(request, nowMs);
    if (request.tokens / TOKENS_PER_EVENT < request.kind.events) continue;
    engine.streaming.splice(engine.streaming.indexOf(request), 1);
    fleet.recordEnded(engine.id, request.id, nowMs);
    if (request.isOnTime) served.get(request.kind.name)!.onTime++;
  }
  const [head] = engine.reading;
  if (head) {
    const tokens = Math.min(CHUNK_TOKENS, head.unreadTokens);
    head.unreadTokens -= tokens;
    const promptTokens = head.kind.sharedTokens + head.kind.ownTokens;
    const contextTokens = promptTokens - head.unreadTokens;
    const pairsInMillions = (tokens * contextTokens) / 1e6;
    stepMs +=
      tokens / READ_TOKENS_PER_MS + MS_PER_MILLION_PAIRS * pairsInMillions;
    if (head.unreadTokens === 0) {
      engine.reading.shift();
      engine.streaming.push(head);
      const firstMs = nowMs + stepMs;
      head.isOnTime = firstMs - head.arrivedMs <= head.kind.targetLatencyMs;
      head.lastEventMs = firstMs;
      fleet.recordFirstEvent(engine.id, head.id, firstMs);
    }
  }
  engine.freeAtMs = nowMs + Math.max(1, stepMs);
}

function noteEvent(request: VirtualRequest, nowMs: number): void {
  const gapMs = nowMs - request.lastEventMs;
  if (gapMs > request.kind.targetGapMs) request.isOnTime = false;
  request.lastEventMs = nowMs;
}
