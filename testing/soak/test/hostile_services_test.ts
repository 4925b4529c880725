import {execFileSync} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  readFleetId,
  sendRawRequest,
  startHostilePeer,
  startHostileRelay,
  waitUntil,
  type GatewayCluster,
  type HostileRelay,
} from '@sardinestile/hosting_tests';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {checkProcesses} from '../src/check_processes.js';
import type {ProcessLimits} from '../src/gateway_process.js';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';
import {startSoundCallers} from '../src/sound_callers.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Those of a deployment, so that a large answer would fill the heap. */
const LIMITS: ProcessLimits = {memoryMb: 350, descriptors: 1_000};

/** Seeds that run in CI; HOSTILE_SEEDS, such as `1-20`, replaces them for runs by hand. */
const [FIRST_SEED, LAST_SEED] = (process.env.HOSTILE_SEEDS ?? '1-1')
  .split('-')
  .map(Number);

const SYSTEM_TABLE = 'sardinestile';
const SYSTEM_PARTITION = 'system';

const GATEWAYS = 4;
const CALLERS_PER_GATEWAY = 2;

/** Share of the calls to the store and to the peer that get a hostile answer. */
const HOSTILE_SHARE = 0.5;

/** Least number of hostile answers of the duty interface, to which calls are few. */
const HOSTILE_DUTY_ANSWERS = 2;

/** Time for which answers of the store are hostile, half of it before and half after a restart, in milliseconds. */
const HOSTILE_MS = 9_000;

/**
 * Time after which each gateway follows the store again, in milliseconds: it covers the
 * longest wait of a call, the time for which a failed peer is not asked, and a start.
 */
const RECOVERY_MS = 10_000;

/** Length of a window of usage and the time in which its report is due, in milliseconds. */
const REPORT_MS = 13_000;

/** Time for what a run only needs, on a busy machine too, such as a start, in milliseconds. */
const SETUP_TIMEOUT_MS = 60_000;

/** Interval at which upstreams write their registrations, in milliseconds. */
const HEARTBEAT_MS = 1_200;

/** Port for other gateways, and the last octet of the address of the stand-in for one. */
const PEER_PORT = 18_200;
const PEER_OCTET = 200;

interface Run {
  cluster: GatewayCluster;
  gateways: readonly GatewayProcess[];
  /** In front of the store, the duty interface and a gateway. */
  relays: Readonly<Record<'store' | 'duties' | 'peer', HostileRelay>>;
  close(): Promise<void>;
}

describe('gateway processes that get hostile answers of services and peers', () => {
  let reserved: ReservedNetwork;

  before(async () => {
    execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
    reserved = await reserveNetwork(process.pid);
  });
  after(() => reserved.release());

  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    itOrKnownRed(
      `go on, serve sound callers and follow the store afterwards, seed ${seed}`,
      async () => {
        const run = await startRun(seed, reserved.network);
        try {
          await playRun(run);
        } finally {
          await run.close();
        }
      },
    );
  }
});

async function playRun(run: Run): Promise<void> {
  const {cluster, gateways, relays} = run;
  // The last one has no callers, as it is restarted.
  const callers = startSoundCallers(
    gateways.slice(0, -1).map(({address}) => address),
    CALLERS_PER_GATEWAY,
  );
  let unmet: string[][];
  try {
    await sendHostileAnswers(run);
    const late = await cluster.addUpstream('late', 'late');
    late.chooseBehaviour = () => ({kind: 'answer', delayMs: 20});
    addRoute(cluster, 'after', 'late');
    const reportsBefore = cluster.duties.accepted.length;
    unmet = await Promise.all(gateways.map(findUnmetNeeds));
    await waitUntil(
      'a report of usage',
      () => cluster.duties.accepted.length > reportsBefore,
      REPORT_MS,
    );
  } finally {
    await callers.stop();
  }
  expect(checkProcesses(gateways)).toEqual([]);
  expect(unmet.flat()).toEqual([]);
  expect(callers.failures).toEqual([]);
  expect(callers.served > 0).toEqual(true);
  for (const [name, relay] of Object.entries(relays)) {
    expect([name, relay.hostile > 0]).toEqual([name, true]);
  }
}

/** Lets answers be hostile for a time, and restarts a gateway and adds a route meanwhile. */
async function sendHostileAnswers({cluster, gateways, relays}: Run) {
  relays.store.hostileShare = HOSTILE_SHARE;
  relays.peer.hostileShare = HOSTILE_SHARE;
  relays.duties.hostileShare = 1;
  await sleep(HOSTILE_MS / 2);
  // A report takes several calls to the store, and seldom comes about otherwise.
  relays.store.hostileShare = 0;
  await waitUntil(
    'hostile answers to reports of usage',
    () => relays.duties.hostile >= HOSTILE_DUTY_ANSWERS,
    SETUP_TIMEOUT_MS,
  );
  relays.store.hostileShare = HOSTILE_SHARE;
  gateways.at(-1)!.signal('SIGKILL');
  addRoute(cluster, 'during', 'pool');
  await sleep(HOSTILE_MS / 2);
  Object.values(relays).forEach(relay => (relay.hostileShare = 0));
}

function addRoute(cluster: GatewayCluster, name: string, service: string) {
  cluster.configure(({routes, services}) => {
    routes.push({...routes[1], name, prefix: `/${name}/`, service});
    if (services.every(other => other.name !== service)) {
      services.push({...services[0], name: service});
    }
  });
}

/** Waits until a gateway follows the store; returns a text for each need that is not met in time. */
async function findUnmetNeeds(gateway: GatewayProcess): Promise<string[]> {
  const endMs = performance.now() + RECOVERY_MS;
  const isServed = async (path: string) => {
    const {status} = await sendRawRequest({
      address: gateway.address,
      host: HOST,
      path,
      headers: createKeyedHeaders(`${gateway.name}${path}`),
    });
    return status === 200;
  };
  const needs: Readonly<Record<string, () => Promise<boolean>>> = {
    'is not ready': () => isReady(gateway),
    'lacks the route that was added meanwhile': () => isServed('/during/x'),
    'lacks the upstream that came afterwards': () => isServed('/after/x'),
  };
  const unmet: string[] = [];
  for (const [name, isMet] of Object.entries(needs)) {
    while (!(await isMet().catch(() => false))) {
      if (performance.now() > endMs) {
        unmet.push(`${gateway.name} ${name}`);
        break;
      }
      await sleep(100);
    }
  }
  return unmet;
}

/** Starts gateways with relays before their services, and a stand-in for one more gateway. */
async function startRun(seed: number, network: number): Promise<Run> {
  const directory = mkdtempSync(join(tmpdir(), 'hostile-services-'));
  const cluster = await createGatewayCluster(4);
  for (const upstream of cluster.upstreams) {
    upstream.chooseBehaviour = ({url}) =>
      url.startsWith('/stream')
        ? {kind: 'stream', events: 5, gapMs: 10}
        : {kind: 'answer', delayMs: 20};
  }
  const pool = [...cluster.upstreams];
  const heartbeats = setInterval(
    () => pool.forEach(upstream => cluster.register(upstream)),
    HEARTBEAT_MS,
  );
  const listener = await startStoreListener(cluster.store);
  const store = await startHostileRelay({
    seed,
    target: () => listener.address,
  });
  const duties = await startHostileRelay({
    seed,
    target: () => cluster.duties.listener.address,
  });
  const gateways = Array.from({length: GATEWAYS}, (_, i) =>
    startGatewayProcess({
      index: i + 1,
      network,
      directory,
      storePort: store.port,
      dutyInterfacePort: duties.port,
      limits: LIMITS,
    }),
  );
  const relays = [store, duties];
  const close = async () => {
    clearInterval(heartbeats);
    await Promise.all(gateways.map(gateway => gateway.stop()));
    await Promise.all(relays.map(relay => relay.close()));
    await listener.close();
    await cluster.close();
  };
  try {
    await Promise.all(gateways.map(waitUntilReady));
    const peer = await startHostilePeer({
      seed,
      host: `127.0.${network}.${PEER_OCTET}`,
      port: PEER_PORT,
      gateways,
      fleetId: readFleetId(cluster, SYSTEM_TABLE, SYSTEM_PARTITION),
      store: cluster.store,
      table: SYSTEM_TABLE,
      partition: SYSTEM_PARTITION,
    });
    relays.push(peer);
    await waitUntil(
      'some gateway to follow the stand-in',
      () => peer.calls.has('configuration') && peer.calls.has('upstreams'),
      SETUP_TIMEOUT_MS,
    );
    return {cluster, gateways, relays: {store, duties, peer}, close};
  } catch (error) {
    await close();
    throw error;
  }
}

function waitUntilReady(gateway: GatewayProcess): Promise<void> {
  return waitUntil(
    `${gateway.name} to be ready`,
    () => isReady(gateway),
    SETUP_TIMEOUT_MS,
  );
}

async function isReady({readinessAddress}: GatewayProcess): Promise<boolean> {
  const {status} = await sendRawRequest({
    address: readinessAddress,
    host: HOST,
    path: '/api/ready',
  });
  return status === 200;
}
