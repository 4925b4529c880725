import type {PromptPart} from '@sardinestile/ports';
import {createSeededRandom} from '@sardinestile/types';
import {
  createPartQuarantine,
  toSharedParts,
  type EvidenceItem,
  type PartQuarantine,
  type SharedPart,
} from '../src/index.js';

/** Options for runVirtualFleet. Times are in virtual milliseconds. */
export interface VirtualFleetOptions {
  seed: number;
  gateways: number;
  engines: number;
  durationMs: number;
  /** Sound requests a second, over all gateways. */
  soundPerSecond: number;
  /** Requests a second with each harmful part, over all gateways. */
  harmfulPerSecond: number;
  harmfulParts?: readonly string[];
  /** Times at which a share of the engines is killed from outside. */
  kills?: ReadonlyArray<{atMs: number; share: number}>;
  /** Share of the datagrams that are lost. */
  lossRate?: number;
  /** Whether the gateways are cut into two halves, which only the store connects. */
  isSplit?: boolean;
}

/** What happened in a virtual fleet. */
export interface VirtualFleetResult {
  /** Times at which engines crashed under each harmful part. */
  crashTimesMs: ReadonlyMap<string, number[]>;
  /** Times at which requests with each harmful part were sent. */
  sentTimesMs: ReadonlyMap<string, number[]>;
  /** Sound parts that some gateway held for harmful at some time. */
  falselyBlamed: ReadonlySet<string>;
  gateways: readonly PartQuarantine[];
}

interface VirtualRequest {
  gateway: number;
  parts: readonly PromptPart[];
  isHarmful: boolean;
  sentAtMs: number;
  beginsAtMs: number;
  endsAtMs: number;
  isAnswered: boolean;
}

interface VirtualEngine {
  id: string;
  isUp: boolean;
  requests: VirtualRequest[];
}

const STEP_MS = 10;
const START_MS = 1_700_000_000_000;
const DATAGRAM_DELAY_MS = 10;
const CRASH_REPORT_DELAY_MS = 40;
const RESTART_MS = 4_000;
const REPEAT_INTERVAL_MS = 500;
const STORE_INTERVAL_MS = 1_200;
const HARMLESS_AFTER_MS = 300;
/** Sound subjects, each of which is one shared part. */
const SUBJECTS = 60;

/** Plays gateways and engines in virtual time. */
export function runVirtualFleet(
  options: VirtualFleetOptions,
): VirtualFleetResult {
  const {gateways: count, harmfulParts = ['bad'], lossRate = 0} = options;
  const {next: random} = createSeededRandom(options.seed);
  let nowMs = START_MS;
  const tasks: Array<{atMs: number; run: () => void}> = [];
  const later = (delayMs: number, run: () => void) =>
    tasks.push({atMs: nowMs + delayMs, run});
  const crashTimesMs = new Map(harmfulParts.map(id => [id, [] as number[]]));
  const sentTimesMs = new Map(harmfulParts.map(id => [id, [] as number[]]));
  const falselyBlamed = new Set<string>();
  const halfOf = (gateway: number) => (gateway < count / 2 ? 0 : 1);

  const send = (from: number, item: EvidenceItem) => {
    for (let to = 0; to < count; to++) {
      if (to === from || random() < lossRate) continue;
      if (options.isSplit && halfOf(to) !== halfOf(from)) continue;
      later(DATAGRAM_DELAY_MS, () => gateways[to].record(item, 'other'));
    }
  };
  const gateways: PartQuarantine[] = Array.from({length: count}, (_, i) =>
    createPartQuarantine({
      nowMs: () => nowMs,
      isTrialGateway: () => i === 0,
      onItem: item => send(i, item),
      onQuarantined({partId}) {
        if (!harmfulParts.includes(partId)) falselyBlamed.add(partId);
      },
      onReleased: () => undefined,
    }),
  );
  let started = 0;
  const createEngine = (): VirtualEngine => ({
    id: `e${started++}`,
    isUp: true,
    requests: [],
  });
  const engines = Array.from({length: options.engines}, createEngine);
  const crash = (engine: VirtualEngine) => {
    if (!engine.isUp) return;
    engine.isUp = false;
    const partsByGateway = new Map<number, SharedPart[]>();
    for (const request of engine.requests) {
      if (nowMs - request.beginsAtMs >= HARMLESS_AFTER_MS) continue;
      const parts = partsByGateway.get(request.gateway) ?? [];
      parts.push(...toSharedParts(request.parts));
      partsByGateway.set(request.gateway, parts);
    }
    const atMs = nowMs;
    for (const [gateway, parts] of partsByGateway) {
      later(CRASH_REPORT_DELAY_MS, () =>
        gateways[gateway].record(
          {
            kind: 'crash',
            upstreamId: engine.id,
            startedAtWallMs: START_MS,
            atMs: atMs + Math.round(random() * 20),
            parts,
          },
          'own',
        ),
      );
    }
    later(RESTART_MS, () => {
      engines[engines.indexOf(engine)] = createEngine();
    });
  };
  const sendRequest = (middle: string, isHarmful: boolean) => {
    const gateway = Math.floor(random() * count);
    const parts = ['first', middle, `own${random()}`].map(id => ({
      id,
      tokens: 100,
    }));
    const up = engines.filter(({isUp}) => isUp);
    if (up.length === 0 || gateways[gateway].check(parts)) return;
    const engine = up[Math.floor(random() * up.length)];
    const beginsAtMs = nowMs + 60 + random() * (isHarmful ? 100 : 400);
    if (isHarmful) sentTimesMs.get(middle)!.push(nowMs);
    engine.requests.push({
      gateway,
      parts,
      isHarmful,
      sentAtMs: nowMs,
      beginsAtMs,
      endsAtMs: beginsAtMs + 200 + random() * 1_500,
      isAnswered: false,
    });
  };
  const runEngine = (engine: VirtualEngine) => {
    for (const request of engine.requests) {
      if (request.isHarmful && nowMs >= request.beginsAtMs) {
        if (engine.isUp) crashTimesMs.get(request.parts[1].id)!.push(nowMs);
        crash(engine);
        return;
      }
      const isPastBegin = nowMs - request.beginsAtMs >= HARMLESS_AFTER_MS;
      if (request.isAnswered || !(isPastBegin || nowMs >= request.endsAtMs)) {
        continue;
      }
      request.isAnswered = true;
      gateways[request.gateway].recordAnswer(request.parts);
    }
    engine.requests = engine.requests.filter(({endsAtMs}) => endsAtMs > nowMs);
  };
  /** Evidence in the store; one gateway of each half reads and writes it. */
  let stored: readonly EvidenceItem[] = [];
  const syncStore = () => {
    for (const gateway of new Set([0, Math.floor(count / 2)])) {
      stored.forEach(item => gateways[gateway].record(item, 'other'));
      stored = gateways[gateway].items();
    }
  };
  const isTimeFor = (intervalMs: number) =>
    (nowMs - START_MS) % intervalMs === 0;
  for (; nowMs < START_MS + options.durationMs; nowMs += STEP_MS) {
    for (let i = tasks.length - 1; i >= 0; i--) {
      if (tasks[i].atMs <= nowMs) tasks.splice(i, 1)[0].run();
    }
    for (const {atMs, share} of options.kills ?? []) {
      if (nowMs !== START_MS + atMs) continue;
      engines.filter(() => random() < share).forEach(crash);
    }
    if (random() < (options.soundPerSecond * STEP_MS) / 1_000) {
      sendRequest(`s${Math.floor(random() * SUBJECTS)}`, false);
    }
    for (const part of harmfulParts) {
      if (random() < (options.harmfulPerSecond * STEP_MS) / 1_000) {
        sendRequest(part, true);
      }
    }
    engines.filter(({isUp}) => isUp).forEach(runEngine);
    if (isTimeFor(100)) gateways.forEach(gateway => gateway.evaluate());
    if (isTimeFor(STORE_INTERVAL_MS)) syncStore();
    if (isTimeFor(REPEAT_INTERVAL_MS)) {
      gateways.forEach((gateway, i) => {
        const items = gateway.items();
        if (items.length === 0 || random() * count >= 4) return;
        send(i, items[Math.floor(random() * items.length)]);
      });
    }
  }
  return {crashTimesMs, sentTimesMs, falselyBlamed, gateways};
}

/** Returns how many requests with a part were sent later than a time after its fifth crash. */
export function countLateRequests(
  {crashTimesMs, sentTimesMs}: VirtualFleetResult,
  partId: string,
  contactMs: number,
): number {
  const fifthMs = crashTimesMs.get(partId)![4] ?? Infinity;
  return sentTimesMs.get(partId)!.filter(atMs => atMs > fifthMs + contactMs)
    .length;
}
