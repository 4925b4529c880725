import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';
import {
  createHostedWorld,
  HOST,
  PATHS,
  rawCall,
  type HostedWorld,
} from '@sardinestile/hosting_tests';
import {createSeededRandom} from '@sardinestile/types';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  SOAK_BOUNDS,
  startGatewayProcess,
  type GatewayProcess,
} from './gateway_process.js';
import {
  checkPromises,
  SOAK_EVENTS,
  type SoakCall,
  type SoakKind,
} from './promises.js';
import {reserveNetwork} from './reserve_network.js';
import {startTcpProxy, type ProxyMode, type TcpProxy} from './tcp_proxy.js';

/** Pauses between faults, in milliseconds; series overlap what came before. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 900;

/** Time for the last requests and reports after the faults, in milliseconds. */
const SETTLE_MS = 4_000;

const KINDS: readonly SoakKind[] = [
  'once',
  'idempotent',
  'resumable',
  'stream',
];

/** Size and length of a soak. */
export interface SoakOptions {
  seed: number;
  gateways: number;
  upstreams: number;
  lengthMs: number;
  callsPerSecond: number;
  say: (line: string) => void;
}

/** What a soak saw. */
export interface SoakResult {
  broken: string[];
  calls: number;
  served: number;
  plan: string[];
  /** Folder with the logs of every process. */
  directory: string;
}

interface Soak {
  world: HostedWorld;
  gateways: GatewayProcess[];
  storeProxies: TcpProxy[];
  random: () => number;
  withdrawn: Map<string, number>;
  keys: string[];
  later: (delayMs: number, action: () => void) => void;
}

type Fault = (soak: Soak) => string;

/** Faults by name; each says what it did. */
const FAULTS: Readonly<Record<string, Fault>> = {
  kill: ({gateways, random}) => signal(pick(gateways, random), 'SIGKILL'),
  killAll: ({gateways}) => {
    gateways.forEach(gateway => gateway.signal('SIGKILL'));
    return 'SIGKILL to all';
  },
  stop: ({gateways, random}) => signal(pick(gateways, random), 'SIGTERM'),
  freeze({gateways, random, later}) {
    const gateway = pick(gateways, random);
    later(500 + random() * 4_000, () => gateway.signal('SIGCONT'));
    return signal(gateway, 'SIGSTOP');
  },
  clock({gateways, random, later}) {
    const stepped = gateways.filter(() => random() < 0.4);
    stepped.forEach(gateway => gateway.signal('SIGUSR2'));
    later(1_000 + random() * 3_000, () =>
      stepped.forEach(gateway => gateway.signal('SIGUSR2')),
    );
    const names = stepped.map(({name}) => name).join(', ');
    return `the clocks of ${names || 'nobody'} step`;
  },
  settings({gateways, random}) {
    const gateway = pick(gateways, random);
    gateway.touchSettings();
    return signal(gateway, 'SIGHUP');
  },
  store({storeProxies, random, later}) {
    const modes: ProxyMode[] = [
      'delay',
      'cutAnswers',
      'silenceOpen',
      'resetOpen',
      'refuse',
    ];
    const mode = pick(modes, random);
    const proxy = pick(storeProxies, random);
    proxy.setMode(mode);
    later(500 + random() * 3_000, () => proxy.setMode('pass'));
    return `store of front-${storeProxies.indexOf(proxy) + 1}: ${mode}`;
  },
  history({world}) {
    world.store.forgetHistory();
    return 'history of the store forgotten';
  },
  upstream({world, random, later}) {
    const upstream = pick(world.upstreams, random);
    const behaviours: UpstreamBehaviour[] = [
      {kind: 'reset'},
      {kind: 'refuse'},
      {kind: 'silent'},
      {kind: 'truncate'},
      {kind: 'crossed'},
      {kind: 'resetUnframed'},
      {kind: 'misdirect'},
    ];
    const behaviour = pick(behaviours, random);
    const usual = upstream.behave;
    upstream.behave = request => (random() < 0.5 ? behaviour : usual(request));
    later(500 + random() * 2_000, () => {
      upstream.behave = behaveUsually(random);
    });
    return `${upstream.id}: ${behaviour.kind}`;
  },
  drain({world, random, later}) {
    const upstream = pick(world.upstreams, random);
    world.register(upstream, {state: 'draining'});
    later(1_500, () => world.register(upstream));
    return `${upstream.id} drains`;
  },
  revoke({world, keys, withdrawn}) {
    const key = keys.shift()!;
    const next = `key-${withdrawn.size + 2}`;
    keys.push(next);
    world.configure(config => {
      config.tenants[0].api_keys = [...keys];
    });
    withdrawn.set(key, performance.now());
    return `${key} withdrawn`;
  },
  configure({world}) {
    return `version ${world.configure()}`;
  },
};

/** Runs real gateway processes under faults and checks the promises. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {next: random} = createSeededRandom(options.seed);
  const directory = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`));
  const world = await createHostedWorld(options.upstreams);
  const keys = ['key-one', 'key-spare'];
  world.configure(config => {
    config.tenants[0].api_keys = [...keys];
  });
  for (const upstream of world.upstreams) {
    upstream.behave = behaveUsually(random);
  }
  const store = await startStoreListener(world.store);
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
        dutyPort: world.duties.listener.port,
      }),
    );
  }
  const timers: NodeJS.Timeout[] = [];
  const withdrawn = new Map<string, number>();
  const soak: Soak = {
    world,
    gateways,
    storeProxies,
    random,
    withdrawn,
    keys,
    later: (delayMs, action) => void timers.push(setTimeout(action, delayMs)),
  };
  await pause(2_000);
  const plan: string[] = [];
  const calls: SoakCall[] = [];
  const startMs = performance.now();
  const endMs = startMs + options.lengthMs;
  const traffic = sendCalls(soak, options, calls, endMs);
  while (performance.now() < endMs) {
    await pause(MIN_PAUSE_MS + random() * (MAX_PAUSE_MS - MIN_PAUSE_MS));
    const name = pick(Object.keys(FAULTS), random);
    const atMs = Math.round(performance.now() - startMs);
    const line = `${atMs} ms ${name}: ${FAULTS[name](soak)}`;
    plan.push(line);
    options.say(line);
  }
  await traffic;
  timers.forEach(clearTimeout);
  gateways.forEach(gateway => gateway.signal('SIGCONT'));
  storeProxies.forEach(proxy => proxy.setMode('pass'));
  await pause(SETTLE_MS);
  const broken = checkPromises(
    calls,
    world.upstreams,
    world.duties,
    withdrawn,
    SOAK_BOUNDS.revoke_ms,
  );
  await Promise.all(gateways.map(gateway => gateway.end()));
  await Promise.all(storeProxies.map(proxy => proxy.close()));
  release();
  await store.close();
  await world.close();
  const served = calls.filter(({answer}) => answer?.status === 200).length;
  return {broken, calls: calls.length, served, plan, directory};
}

async function sendCalls(
  soak: Soak,
  {callsPerSecond, seed}: SoakOptions,
  calls: SoakCall[],
  endMs: number,
): Promise<void> {
  const open: Array<Promise<void>> = [];
  // Of its own, so that the plan does not depend on the pace of calls.
  const {next: random} = createSeededRandom(seed + 1_000_003);
  while (performance.now() < endMs) {
    const kind = pick(KINDS, random);
    const gateway = pick(soak.gateways, random);
    // Withdrawn keys are tried, too.
    const known = [...soak.withdrawn.keys(), ...soak.keys];
    const call: SoakCall = {
      id: `c${calls.length}`,
      kind,
      key: random() < 0.8 ? soak.keys[0] : pick(known, random),
      gateway: gateway.name,
      sentAtMs: performance.now(),
    };
    calls.push(call);
    open.push(sendCall(call, gateway.address));
    await pause(1_000 / callsPerSecond);
  }
  await Promise.all(open);
}

async function sendCall(call: SoakCall, address: string): Promise<void> {
  try {
    call.answer = await rawCall({
      address,
      host: HOST,
      method: call.kind === 'idempotent' ? 'GET' : 'POST',
      path: PATHS[call.kind],
      headers: {
        'Request-Id': call.id,
        'Deadline-Ms': '6000',
        Authorization: `Bearer ${call.key}`,
      },
      body: call.kind === 'idempotent' ? undefined : 'x',
      timeoutMs: 8_000,
    });
  } catch {
    // No whole answer in time: nothing was promised.
    call.answer = undefined;
  }
}

/** Answers each route as it should, with some delay. */
function behaveUsually(
  random: () => number,
): (request: {url: string}) => UpstreamBehaviour {
  return ({url}) =>
    url === PATHS.stream || url === PATHS.resumable
      ? {kind: 'stream', events: SOAK_EVENTS, gapMs: 5 + random() * 60}
      : {kind: 'answer', delayMs: random() * 80};
}

function signal(gateway: GatewayProcess, name: NodeJS.Signals): string {
  gateway.signal(name);
  return `${name} to ${gateway.name}`;
}

function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)];
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
