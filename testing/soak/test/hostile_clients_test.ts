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
  HOST,
  readFleetId,
  runHostileClients,
  sendRawRequest,
  waitUntil,
  type GatewayCluster,
} from '@sardinestile/hosting_tests';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {checkProcesses} from '../src/check_processes.js';
import type {ProcessLimits} from '../src/gateway_process.js';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';
import {startSoundCallers} from '../src/sound_callers.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const COLLECT_GARBAGE_MODULE = new URL(
  '../src/collect_garbage.mjs',
  import.meta.url,
).href;

/** Those of a deployment, so that what hostile clients leave would fill the heap. */
const LIMITS: ProcessLimits = {
  memoryMb: 350,
  descriptors: 1_000,
};

/** Seeds that run in CI; HOSTILE_SEEDS, such as `1-20`, replaces them for runs by hand. */
const [FIRST_SEED, LAST_SEED] = (process.env.HOSTILE_SEEDS ?? '1-1')
  .split('-')
  .map(Number);

const GATEWAYS = 2;
const CALLERS_PER_GATEWAY = 4;
const CONNECTIONS = 1_000;

/**
 * Differences of the seeds of the connections before and after those of the test's seed. The
 * first ones let Node.js compile what runs often; compiled code is on the heap, too.
 */
const WARM_UP_SEED_OFFSET = 2_000_003;
const MORE_SEED_OFFSET = 1_000_003;

/**
 * Time after which whatever hostile clients left is given up: unfinished headers and idle
 * connections, and engines that still work for a caller that left, in milliseconds.
 */
const SETTLE_MS = 8_000;

/** Time over which the least use of the heap is taken, in milliseconds. */
const MEASURE_MS = 1_500;

/** What 1,000 more connections may leave on the heap: less than the least that a connection takes, each. */
const MAX_KEPT_BYTES_PER_CONNECTION = 2_048;

const START_TIMEOUT_MS = 15_000;

describe('gateway processes that hostile clients reach', () => {
  const directory = mkdtempSync(join(tmpdir(), 'hostile-'));
  let cluster: GatewayCluster;
  let store: Awaited<ReturnType<typeof startStoreListener>>;
  let reserved: ReservedNetwork;
  const gateways: GatewayProcess[] = [];

  before(async () => {
    execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
    cluster = await createGatewayCluster(4);
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) =>
        url.startsWith('/stream') || url.startsWith('/resumable')
          ? {kind: 'stream', events: 5, gapMs: 10}
          : {kind: 'answer', delayMs: 20};
    }
    store = await startStoreListener(cluster.store);
    reserved = await reserveNetwork(process.pid);
    for (let index = 1; index <= GATEWAYS; index++) {
      gateways.push(
        startGatewayProcess({
          index,
          network: reserved.network,
          directory,
          storePort: store.port,
          dutyInterfacePort: cluster.duties.listener.port,
          limits: LIMITS,
          preload: [COLLECT_GARBAGE_MODULE],
        }),
      );
    }
    await Promise.all(gateways.map(waitUntilReady));
  });
  after(async () => {
    await Promise.all(gateways.map(gateway => gateway.stop()));
    reserved.release();
    await store.close();
    await cluster.close();
  });

  const attack = (seed: number, connections: number) =>
    runHostileClients({
      seed,
      connections,
      addresses: gateways.flatMap(gateway => [
        gateway.address,
        gateway.peerAddress,
        gateway.address,
        gateway.readinessAddress,
        gateway.address,
        gateway.metricsAddress,
      ]),
      datagrams: {
        addresses: gateways.map(({peerAddress}) => peerAddress),
        fleetId: readFleetId(cluster, 'sardinestile', 'system'),
      },
    });
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    itOrKnownRed(
      `go on, serve sound callers and keep no memory, seed ${seed}`,
      async () => {
        const callers = startSoundCallers(
          gateways.map(({address}) => address),
          CALLERS_PER_GATEWAY,
        );
        await attack(seed + WARM_UP_SEED_OFFSET, CONNECTIONS);
        await attack(seed, CONNECTIONS);
        await sleep(SETTLE_MS);
        const heapBytes = await readLeastHeap(gateways);
        await attack(seed + MORE_SEED_OFFSET, CONNECTIONS);
        await sleep(SETTLE_MS);
        const grownBytes = (await readLeastHeap(gateways)).map(
          (bytes, i) => bytes - heapBytes[i],
        );
        await callers.stop();
        expect(checkProcesses(gateways)).toEqual([]);
        expect(callers.failures).toEqual([]);
        expect(callers.served > 0).toEqual(true);
        const maxGrowthBytes =
          (MAX_KEPT_BYTES_PER_CONNECTION * CONNECTIONS) / GATEWAYS;
        expect(grownBytes.filter(bytes => bytes > maxGrowthBytes)).toEqual([]);
      },
    );
  }
});

async function waitUntilReady({
  readinessAddress,
}: GatewayProcess): Promise<void> {
  const isReady = async () => {
    const {status} = await sendRawRequest({
      address: readinessAddress,
      host: HOST,
      path: '/api/ready',
    });
    return status === 200;
  };
  await waitUntil('the gateway to be ready', isReady, START_TIMEOUT_MS);
}

/** Returns the least use of the heap of each process over some time, in bytes. */
async function readLeastHeap(
  gateways: readonly GatewayProcess[],
): Promise<number[]> {
  const least = gateways.map(() => Infinity);
  const endMs = performance.now() + MEASURE_MS;
  while (performance.now() < endMs) {
    const used = await Promise.all(gateways.map(readHeap));
    used.forEach((bytes, i) => (least[i] = Math.min(least[i], bytes)));
    await sleep(50);
  }
  return least;
}

async function readHeap({metricsAddress}: GatewayProcess): Promise<number> {
  const {body} = await sendRawRequest({
    address: metricsAddress,
    host: HOST,
    path: '/metrics',
  });
  const match = /^sardinestile_process_heap_used_bytes (\S+)$/m.exec(body);
  return Number(match?.[1]);
}
