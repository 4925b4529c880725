import {rankUpstreams, type UpstreamView} from '@sardinestile/placement';
import {createScheduler, type Scheduler} from '@sardinestile/scheduler';
import {createSeededRandom} from '@sardinestile/types';
import {
  measureQuarantineCostUs,
  type QuarantineState,
} from './quarantine_cost.js';

/** Required decisions per second on one core. */
const MIN_DECISIONS_PER_S = 50_000;

const WAITING_COUNTS = [100, 1_000, 10_000, 100_000];
const UPSTREAM_COUNTS = [13, 128, 1_024, 11_000];
const SCHEDULER_DECISIONS = 100_000;
const PLACEMENT_DURATION_MS = 1_000;
const MEMORY_EVENTS = 10_000_000;
const MEMORY_SAMPLES = 5;
const QUARANTINE_STATES: readonly QuarantineState[] = [
  'calm',
  'suspicions',
  'harmfulRequest',
];
const BODY_BYTES = [0, 1_000, 100_000];
const ORGANISATIONS = 210;
const CAPACITY = 32;

/**
 * Maximum growth of the cost per decision from the fewest to the most waiting
 * requests; logarithmic growth stays below it.
 */
const MAX_COST_GROWTH = Math.log(100_000) / Math.log(100) + 1;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function createBenchScheduler(): Scheduler {
  return createScheduler({
    classes: [
      {name: 'c0', tier: 0, minShare: 0.2},
      {name: 'c1', tier: 1, minShare: 0.2},
      {name: 'c2', tier: 2, minShare: 0.05},
    ],
    capacity: CAPACITY,
    overcommitSlots: CAPACITY,
    weightOf: () => 1,
  });
}

/** Generates events for a scheduler: arrivals and completions of requests. */
function createLoadGenerator(scheduler: Scheduler) {
  const random = createSeededRandom(1);
  const running: string[] = [];
  let count = 0;
  let nowMs = 1;
  const arrive = () => {
    nowMs += 0.01;
    const commands = scheduler.handle(
      {
        kind: 'arrived',
        request: {
          attemptId: `r${count++}`,
          requestClass: `c${Math.floor(random.next() * 3)}`,
          organisation: `o${Math.floor(random.next() * ORGANISATIONS)}`,
          promptTokens: 100,
          isPreemptible: false,
        },
      },
      nowMs,
    );
    commands.forEach(command => running.push(command.attemptId));
  };
  const finish = () => {
    const index = Math.floor(random.next() * running.length);
    const attemptId = running[index];
    running[index] = running[running.length - 1];
    running.pop();
    scheduler.handle({kind: 'tokensServed', attemptId, tokens: 10}, nowMs);
    scheduler
      .handle({kind: 'finished', attemptId}, nowMs)
      .forEach(command => running.push(command.attemptId));
  };
  return {arrive, finish};
}

/**
 * Measures decisions per second. Each completion is paired with an arrival, so
 * that the number of waiting requests stays constant.
 */
function measureScheduler(waiting: number): number {
  const {arrive, finish} = createLoadGenerator(createBenchScheduler());
  for (let index = 0; index < waiting + CAPACITY; index++) arrive();
  const startedAtMs = performance.now();
  for (let index = 0; index < SCHEDULER_DECISIONS / 2; index++) {
    arrive();
    finish();
  }
  return (1000 * SCHEDULER_DECISIONS) / (performance.now() - startedAtMs);
}

/** Measures placements per second for a number of upstreams. */
function measurePlacement(upstreams: number): number {
  const random = createSeededRandom(1);
  const views: UpstreamView[] = Array.from({length: upstreams}, (_, index) => ({
    id: `upstream-${index}`,
    availabilityZone: `zone-${index % 15}`,
    isConnected: true,
    isHealthy: true,
    isDraining: false,
    isCircuitClosed: true,
    running: Math.floor(random.next() * CAPACITY),
    waiting: 0,
    capacity: CAPACITY,
    unreportedRequests: 0,
    tokenIntervalMs: 20,
  }));
  const startedAtMs = performance.now();
  let placements = 0;
  while (performance.now() - startedAtMs < PLACEMENT_DURATION_MS) {
    const prefixKey = `prefix-${placements % 100}`;
    rankUpstreams({views, availabilityZone: 'zone-0', prefixKey, random});
    placements++;
  }
  return (1000 * placements) / (performance.now() - startedAtMs);
}

/** Measures the heap in use at several points of a long run, in mebibytes. */
function measureMemory(): number[] {
  const {arrive, finish} = createLoadGenerator(createBenchScheduler());
  for (let index = 0; index < 1_000; index++) arrive();
  const heapsMib: number[] = [];
  const pairsPerSample = MEMORY_EVENTS / MEMORY_SAMPLES / 3;
  for (let sample = 0; sample < MEMORY_SAMPLES; sample++) {
    for (let index = 0; index < pairsPerSample; index++) {
      arrive();
      finish();
    }
    globalThis.gc?.();
    heapsMib.push(process.memoryUsage().heapUsed / 1024 / 1024);
  }
  return heapsMib;
}

function reportTarget(isMet: boolean, text: string): void {
  print(`${isMet ? 'met' : 'NOT MET'}: ${text}`);
  if (!isMet) process.exitCode = 1;
}

measureScheduler(1_000);
const schedulerRates = WAITING_COUNTS.map(waiting => {
  const rate = measureScheduler(waiting);
  print(`scheduler, ${waiting} waiting: ${rate.toFixed(0)} decisions/s`);
  return rate;
});
const placementRates = UPSTREAM_COUNTS.map(upstreams => {
  const rate = measurePlacement(upstreams);
  print(`placement, ${upstreams} upstreams: ${rate.toFixed(0)} decisions/s`);
  return rate;
});
for (const state of QUARANTINE_STATES) {
  for (const bytes of BODY_BYTES) {
    const costUs = measureQuarantineCostUs(state, bytes);
    print(
      `quarantine, ${state}, body of ${bytes} bytes: ${costUs.toFixed(1)} us a request`,
    );
  }
}
const heaps = measureMemory();
print(
  `heap over ${MEMORY_EVENTS} events: ${heaps.map(h => h.toFixed(1)).join(' ')} MiB`,
);
const growth = schedulerRates[0] / schedulerRates[schedulerRates.length - 1];
reportTarget(
  schedulerRates.every(rate => rate >= MIN_DECISIONS_PER_S),
  `the scheduler makes at least ${MIN_DECISIONS_PER_S} decisions/s at every size`,
);
reportTarget(
  growth <= MAX_COST_GROWTH,
  `the cost of a decision grows by a factor of ${growth.toFixed(1)} from 100 to 100,000 waiting, limit ${MAX_COST_GROWTH.toFixed(1)}`,
);
reportTarget(
  placementRates.every(rate => rate >= MIN_DECISIONS_PER_S),
  `placement makes at least ${MIN_DECISIONS_PER_S} decisions/s at every size`,
);
reportTarget(
  heaps[MEMORY_SAMPLES - 1] <= 1.2 * heaps[0],
  'the heap grows by at most 20% over the run',
);
