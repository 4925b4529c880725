import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  startLoopPolls,
} from '@sardinestile/hosting_tests';
import {createSeededRandom} from '@sardinestile/types';
import {checkProcesses} from './check_processes.js';
import {FAULTS} from './faults.js';
import {checkFleetBounds} from './fleet_bounds.js';
import {
  SOAK_BOUNDS,
  startGatewayProcess,
  type GatewayProcess,
} from './gateway_process.js';
import {checkGuarantees, type SoakCall} from './guarantees.js';
import {runKeptCallers} from './kept_callers.js';
import {HOSTILE_FAULTS} from './hostile_faults.js';
import {checkLargeCalls, LARGE_FAULTS, MAX_BODY_BYTES} from './large_faults.js';
import {checkLostRequests} from './lost_requests.js';
import {watchMemory} from './memory_watch.js';
import {reserveNetwork} from './reserve_network.js';
import {sendCalls} from './send_calls.js';
import {
  delay,
  pickRandom,
  type SoakContext,
  type SoakOptions,
} from './soak_context.js';
import {STOP_FAULTS} from './stop_faults.js';
import {SPLIT_FAULTS, splitResumableRoute} from './split_route.js';
import {CROWD_FAULTS} from './stop_crowds.js';
import {startTcpProxy, type TcpProxy} from './tcp_proxy.js';
import {prepareUpstream} from './usual_upstream.js';

/**
 * Kinds of faults that are injected side by side, with the range of the delay between
 * two of them in milliseconds. It is shorter than most faults last, so that they overlap.
 */
const FAULT_SERIES = [
  {faults: FAULTS, minDelayMs: 100, maxDelayMs: 900},
  {faults: STOP_FAULTS, minDelayMs: 1_000, maxDelayMs: 4_000},
  {faults: HOSTILE_FAULTS, minDelayMs: 300, maxDelayMs: 2_000},
  {faults: LARGE_FAULTS, minDelayMs: 2_000, maxDelayMs: 6_000},
  {faults: SPLIT_FAULTS, minDelayMs: 2_000, maxDelayMs: 8_000},
  {faults: CROWD_FAULTS, minDelayMs: 1_000, maxDelayMs: 8_000},
];

/**
 * Gateways that single faults spare in every other soak, so that some are in contact
 * for long enough for the bounds of the whole fleet to apply.
 */
const SPARED_GATEWAYS = 2;

/** Memory of each gateway, by seed, in megabytes. */
const MEMORY_LIMITS_MB = [200, 250, 350];

const MAX_DESCRIPTORS = 1_000;

/** Time without faults before the checks, for the last requests and reports, in milliseconds. */
const SETTLE_MS = 4_000;

/** Result of a soak. */
export interface SoakResult {
  /** Violated guarantees; empty if the soak passed. */
  failures: string[];
  calls: number;
  served: number;
  /** Largest resident memory of any gateway, and what each one may have, in megabytes. */
  peakMemoryMb: number;
  memoryLimitMb: number;
  /** A line for each injected fault. */
  faultLines: string[];
  /** Directory with the settings and logs of every process. */
  directory: string;
}

/** Runs gateway processes under random faults and checks the guarantees to callers. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {next: random} = createSeededRandom(options.seed);
  const {next: upstreamRandom} = createSeededRandom(options.seed + 3_000_017);
  const {next: hostileRandom} = createSeededRandom(options.seed + 5_000_011);
  const {next: largeRandom} = createSeededRandom(options.seed + 7_000_003);
  const memoryLimitMb =
    MEMORY_LIMITS_MB[options.seed % MEMORY_LIMITS_MB.length];
  const directory = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`));
  const cluster = await createGatewayCluster(options.upstreams);
  const keys = ['key-one', 'key-spare'];
  cluster.configure(config => {
    config.tenants[0].api_keys = [...keys];
    config.limits.max_body_bytes = MAX_BODY_BYTES;
  });
  await splitResumableRoute(cluster);
  for (const upstream of cluster.upstreams) {
    prepareUpstream(cluster, upstream, upstreamRandom);
  }
  const store = await startStoreListener(cluster.store);
  const {network, release} = await reserveNetwork(options.seed);
  const storeProxies: TcpProxy[] = [];
  const gateways: GatewayProcess[] = [];
  for (let index = 1; index <= options.gateways; index++) {
    const proxy = await startTcpProxy(store.port);
    storeProxies.push(proxy);
    gateways.push(
      startGatewayProcess({
        index,
        network,
        directory,
        storePort: proxy.port,
        dutyInterfacePort: cluster.duties.listener.port,
        limits: {memoryMb: memoryLimitMb, descriptors: MAX_DESCRIPTORS},
      }),
    );
  }
  const memoryWatch = watchMemory(gateways, memoryLimitMb);
  const timers: NodeJS.Timeout[] = [];
  const revokedKeys = new Map<string, number>();
  const soak: SoakContext = {
    cluster,
    gateways,
    exposedGateways: gateways.slice(
      options.seed % 2 === 0 ? 0 : SPARED_GATEWAYS,
    ),
    storeProxies,
    random,
    upstreamRandom,
    hostileRandom,
    hostileRuns: [],
    largeRandom,
    largeRuns: [],
    revokedKeys,
    keys,
    disturbances: [],
    plannedSignals: [],
    harmfulParts: [],
    sentHarmfulParts: new Set(),
    harmfulBodies: [],
    sentHarmfulBodies: new Set(),
    newestVersion: 1,
    limits: [],
    loopPolls: startLoopPolls(),
    runLater: (delayMs, action) =>
      void timers.push(setTimeout(action, delayMs)),
  };
  await delay(2_000);
  const faultLines: string[] = [];
  const calls: SoakCall[] = [];
  const startMs = performance.now();
  const endMs = startMs + options.durationMs;
  const traffic = Promise.all([
    sendCalls(soak, options, calls, endMs),
    runKeptCallers(soak, options, calls, endMs),
  ]);
  const injectFaults = async (
    {faults, minDelayMs, maxDelayMs}: (typeof FAULT_SERIES)[number],
    index: number,
  ) => {
    const {next} = createSeededRandom(options.seed * 101 + index);
    while (performance.now() < endMs) {
      await delay(minDelayMs + next() * (maxDelayMs - minDelayMs));
      const [name, cause] = pickRandom(Object.entries(faults), next);
      const atMs = Math.round(performance.now() - startMs);
      const line = `${atMs} ms ${name}: ${cause(soak)}`;
      faultLines.push(line);
      options.logFault(line);
    }
  };
  await Promise.all(FAULT_SERIES.map(injectFaults));
  await Promise.all([traffic, ...soak.hostileRuns, ...soak.largeRuns]);
  timers.forEach(clearTimeout);
  gateways.forEach(gateway => gateway.signal('SIGCONT'));
  storeProxies.forEach(proxy => proxy.setMode('pass'));
  await delay(SETTLE_MS);
  const failures = [
    ...checkGuarantees(
      calls,
      cluster.upstreams,
      cluster.duties,
      revokedKeys,
      SOAK_BOUNDS.revoke_ms,
    ),
    ...checkLostRequests({...soak, calls, upstreams: cluster.upstreams}),
    ...checkFleetBounds({...soak, calls, upstreams: cluster.upstreams}),
    ...checkProcesses(gateways),
    ...(await checkLargeCalls(soak)),
    ...memoryWatch.failures,
  ];
  memoryWatch.stop();
  for (const upstream of cluster.upstreams) upstream.onCrash = () => undefined;
  await Promise.all(gateways.map(gateway => gateway.stop()));
  await Promise.all(storeProxies.map(proxy => proxy.close()));
  soak.loopPolls.stop();
  release();
  await store.close();
  await cluster.close();
  const served = calls.filter(({response}) => response?.status === 200).length;
  return {
    failures,
    calls: calls.length,
    served,
    peakMemoryMb: memoryWatch.peakMb,
    memoryLimitMb,
    faultLines,
    directory,
  };
}
