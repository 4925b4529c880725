import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  HOST,
  ROUTE_PATHS,
  sendRawRequest,
  type GatewayCluster,
} from '@sardinestile/hosting_tests';
import {createSeededRandom} from '@sardinestile/types';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  SOAK_BOUNDS,
  startGatewayProcess,
  type GatewayProcess,
} from './gateway_process.js';
import {
  checkGuarantees,
  EVENTS_PER_STREAM,
  type SoakCall,
  type SoakRequestKind,
} from './guarantees.js';
import {reserveNetwork} from './reserve_network.js';
import {startTcpProxy, type ProxyMode, type TcpProxy} from './tcp_proxy.js';

/**
 * Range of the delay between faults, in milliseconds. It is shorter than the
 * duration of most faults, so that faults overlap.
 */
const MIN_DELAY_MS = 100;
const MAX_DELAY_MS = 900;

/** Time without faults before the checks, for the last requests and reports, in milliseconds. */
const SETTLE_MS = 4_000;

const KINDS: readonly SoakRequestKind[] = [
  'once',
  'idempotent',
  'resumable',
  'stream',
];

/** Options for runSoak. */
export interface SoakOptions {
  seed: number;
  gateways: number;
  upstreams: number;
  durationMs: number;
  callsPerSecond: number;
  /** Receives a line for each injected fault. */
  logFault: (line: string) => void;
}

/** Result of a soak. */
export interface SoakResult {
  /** Violated guarantees; empty if the soak passed. */
  failures: string[];
  calls: number;
  served: number;
  /** A line for each injected fault. */
  faultLines: string[];
  /** Directory with the settings and logs of every process. */
  directory: string;
}

interface SoakContext {
  cluster: GatewayCluster;
  gateways: GatewayProcess[];
  storeProxies: TcpProxy[];
  random: () => number;
  revokedKeys: Map<string, number>;
  keys: string[];
  runLater: (delayMs: number, action: () => void) => void;
}

type Fault = (soak: SoakContext) => string;

/** Faults by name. Each one injects the fault and returns a description for the log. */
const FAULTS: Readonly<Record<string, Fault>> = {
  kill: ({gateways, random}) =>
    sendSignal(pickRandom(gateways, random), 'SIGKILL'),
  killAll: ({gateways}) => {
    gateways.forEach(gateway => gateway.signal('SIGKILL'));
    return 'SIGKILL to all';
  },
  stop: ({gateways, random}) =>
    sendSignal(pickRandom(gateways, random), 'SIGTERM'),
  freeze({gateways, random, runLater}) {
    const gateway = pickRandom(gateways, random);
    runLater(500 + random() * 4_000, () => gateway.signal('SIGCONT'));
    return sendSignal(gateway, 'SIGSTOP');
  },
  clock({gateways, random, runLater}) {
    const stepped = gateways.filter(() => random() < 0.4);
    stepped.forEach(gateway => gateway.signal('SIGUSR2'));
    runLater(1_000 + random() * 3_000, () =>
      stepped.forEach(gateway => gateway.signal('SIGUSR2')),
    );
    const names = stepped.map(({name}) => name).join(', ');
    return `clock step of ${names || 'no gateway'}`;
  },
  settings({gateways, random}) {
    const gateway = pickRandom(gateways, random);
    gateway.rewriteSettings();
    return sendSignal(gateway, 'SIGHUP');
  },
  store({storeProxies, random, runLater}) {
    const modes: ProxyMode[] = [
      'delay',
      'cutAnswers',
      'silenceOpen',
      'resetOpen',
      'refuse',
    ];
    const mode = pickRandom(modes, random);
    const proxy = pickRandom(storeProxies, random);
    proxy.setMode(mode);
    runLater(500 + random() * 3_000, () => proxy.setMode('pass'));
    return `store of front-${storeProxies.indexOf(proxy) + 1}: ${mode}`;
  },
  history({cluster}) {
    cluster.store.discardHistory();
    return 'change history of the store dropped';
  },
  upstream({cluster, random, runLater}) {
    const upstream = pickRandom(cluster.upstreams, random);
    const behaviours: UpstreamBehaviour[] = [
      {kind: 'reset'},
      {kind: 'refuse'},
      {kind: 'silent'},
      {kind: 'truncate'},
      {kind: 'crossed'},
      {kind: 'resetUnframed'},
      {kind: 'misdirect'},
    ];
    const behaviour = pickRandom(behaviours, random);
    const previous = upstream.chooseBehaviour;
    upstream.chooseBehaviour = request =>
      random() < 0.5 ? behaviour : previous(request);
    runLater(500 + random() * 2_000, () => {
      upstream.chooseBehaviour = createUsualBehaviour(random);
    });
    return `${upstream.id}: ${behaviour.kind}`;
  },
  drain({cluster, random, runLater}) {
    const upstream = pickRandom(cluster.upstreams, random);
    cluster.register(upstream, {state: 'draining'});
    runLater(1_500, () => cluster.register(upstream));
    return `${upstream.id} is draining`;
  },
  revoke({cluster, keys, revokedKeys}) {
    const key = keys.shift()!;
    const next = `key-${revokedKeys.size + 2}`;
    keys.push(next);
    cluster.configure(config => {
      config.tenants[0].api_keys = [...keys];
    });
    revokedKeys.set(key, performance.now());
    return `${key} is revoked`;
  },
  configure({cluster}) {
    return `version ${cluster.configure()}`;
  },
};

/** Runs gateway processes under random faults and checks the guarantees to callers. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {next: random} = createSeededRandom(options.seed);
  const directory = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`));
  const cluster = await createGatewayCluster(options.upstreams);
  const keys = ['key-one', 'key-spare'];
  cluster.configure(config => {
    config.tenants[0].api_keys = [...keys];
  });
  for (const upstream of cluster.upstreams) {
    upstream.chooseBehaviour = createUsualBehaviour(random);
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
      }),
    );
  }
  const timers: NodeJS.Timeout[] = [];
  const revokedKeys = new Map<string, number>();
  const soak: SoakContext = {
    cluster,
    gateways,
    storeProxies,
    random,
    revokedKeys,
    keys,
    runLater: (delayMs, action) =>
      void timers.push(setTimeout(action, delayMs)),
  };
  await delay(2_000);
  const faultLines: string[] = [];
  const calls: SoakCall[] = [];
  const startMs = performance.now();
  const endMs = startMs + options.durationMs;
  const traffic = sendCalls(soak, options, calls, endMs);
  while (performance.now() < endMs) {
    await delay(MIN_DELAY_MS + random() * (MAX_DELAY_MS - MIN_DELAY_MS));
    const name = pickRandom(Object.keys(FAULTS), random);
    const atMs = Math.round(performance.now() - startMs);
    const line = `${atMs} ms ${name}: ${FAULTS[name](soak)}`;
    faultLines.push(line);
    options.logFault(line);
  }
  await traffic;
  timers.forEach(clearTimeout);
  gateways.forEach(gateway => gateway.signal('SIGCONT'));
  storeProxies.forEach(proxy => proxy.setMode('pass'));
  await delay(SETTLE_MS);
  const failures = checkGuarantees(
    calls,
    cluster.upstreams,
    cluster.duties,
    revokedKeys,
    SOAK_BOUNDS.revoke_ms,
  );
  await Promise.all(gateways.map(gateway => gateway.stop()));
  await Promise.all(storeProxies.map(proxy => proxy.close()));
  release();
  await store.close();
  await cluster.close();
  const served = calls.filter(({response}) => response?.status === 200).length;
  return {failures, calls: calls.length, served, faultLines, directory};
}

async function sendCalls(
  soak: SoakContext,
  {callsPerSecond, seed}: SoakOptions,
  calls: SoakCall[],
  endMs: number,
): Promise<void> {
  const open: Array<Promise<void>> = [];
  // A separate generator, so that the choice of faults does not depend on the
  // number of calls.
  const {next: random} = createSeededRandom(seed + 1_000_003);
  while (performance.now() < endMs) {
    const kind = pickRandom(KINDS, random);
    const gateway = pickRandom(soak.gateways, random);
    // Includes revoked keys, to check that they are rejected.
    const known = [...soak.revokedKeys.keys(), ...soak.keys];
    const call: SoakCall = {
      id: `c${calls.length}`,
      kind,
      key: random() < 0.8 ? soak.keys[0] : pickRandom(known, random),
      gateway: gateway.name,
      sentAtMs: performance.now(),
    };
    calls.push(call);
    open.push(sendCall(call, gateway.address));
    await delay(1_000 / callsPerSecond);
  }
  await Promise.all(open);
}

async function sendCall(call: SoakCall, address: string): Promise<void> {
  try {
    call.response = await sendRawRequest({
      address,
      host: HOST,
      method: call.kind === 'idempotent' ? 'GET' : 'POST',
      path: ROUTE_PATHS[call.kind],
      headers: {
        'Request-Id': call.id,
        'Deadline-Ms': '6000',
        Authorization: `Bearer ${call.key}`,
      },
      body: call.kind === 'idempotent' ? undefined : 'x',
      timeoutMs: 8_000,
    });
  } catch {
    // The request timed out, so there is no response to check.
    call.response = undefined;
  }
}

/** Creates a behaviour that answers each route correctly, with a random delay. */
function createUsualBehaviour(
  random: () => number,
): (request: {url: string}) => UpstreamBehaviour {
  return ({url}) =>
    url === ROUTE_PATHS.stream || url === ROUTE_PATHS.resumable
      ? {kind: 'stream', events: EVENTS_PER_STREAM, gapMs: 5 + random() * 60}
      : {kind: 'answer', delayMs: random() * 80};
}

function sendSignal(gateway: GatewayProcess, name: NodeJS.Signals): string {
  gateway.signal(name);
  return `${name} to ${gateway.name}`;
}

function pickRandom<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)];
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
