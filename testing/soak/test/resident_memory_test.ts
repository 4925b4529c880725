import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, afterEach, before, describe} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  startStoreListener,
  type StandInListener,
} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  ROUTE_PATHS,
  sendRawRequest,
  HOST,
  waitUntil,
  type GatewayCluster,
} from '@sardinestile/hosting_tests';
import {itOrKnownRed} from '@sardinestile/known_red';
import {createSeededRandom} from '@sardinestile/types';
import {expect} from 'earl';
import {execFileSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {
  startLargeCallers,
  type LargeCallPattern,
} from '../src/large_callers.js';
import {readResidentMemory} from '../src/read_resident_memory.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const MEMORY_LIMITS_MB = [200, 250, 350, 602];
const MAX_BODY_BYTES = 4_194_304;
const MAX_DESCRIPTORS = 4_100;
const KB = 1_024;
const MB = 1_048_576;

/** Time for which callers send, in milliseconds. */
const LOAD_MS = 6_000;
const READY_TIMEOUT_MS = 10_000;

interface LargeLoad extends LargeCallPattern {
  name: string;
  /** Sizes of answers and of events, of which each call takes the next one, in bytes. */
  answerBytes: readonly number[];
}

/** Seeds that run in CI; MEMORY_SEEDS, such as `1-20`, replaces them for runs by hand. */
const [FIRST_SEED, LAST_SEED] = (process.env.MEMORY_SEEDS ?? '1-1')
  .split('-')
  .map(Number);

/** Time after a load within which a process gives memory back, in milliseconds. */
const GIVE_BACK_MS = 5_000;

const LOADS: LargeLoad[] = [
  {
    name: 'bodies and answers of 1 MB, a third of them read slowly',
    bodyBytes: [MB],
    answerBytes: [MB],
    callers: 300,
    slowEvery: 3,
  },
  {
    name: 'bodies and answers of 256 KB',
    bodyBytes: [256 * KB],
    answerBytes: [256 * KB],
    callers: 300,
  },
  {
    name: 'bodies of 64 KB to 4 MB',
    bodyBytes: [4 * MB, 64 * KB, MB, 16 * KB, 256 * KB],
    answerBytes: [2],
    callers: 100,
  },
  {
    name: 'answers of 1 MB',
    bodyBytes: [2],
    answerBytes: [MB],
    callers: 100,
  },
];

/** Draws sizes and manners of callers; some bodies are over the limit and are sent on nonetheless. */
function drawLoad(seed: number): LargeLoad {
  const {next: random} = createSeededRandom(seed);
  const drawEvery = () => 2 + Math.floor(random() * 8);
  const drawSizes = (largestBytes: number) =>
    Array.from({length: 7}, () => Math.ceil(largestBytes * random() ** 3));
  return {
    name: `calls drawn by seed ${seed}`,
    bodyBytes: drawSizes(MAX_BODY_BYTES * 1.5),
    answerBytes: drawSizes(MB),
    callers: 50 + Math.floor(random() * 300),
    slowEvery: drawEvery(),
    brokenEvery: drawEvery(),
    streamEvery: drawEvery(),
  };
}

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  LOADS.push(drawLoad(seed));
}

for (const memoryMb of MEMORY_LIMITS_MB) {
  describe(`a gateway process of ${memoryMb} MB`, () => {
    let cluster: GatewayCluster;
    let store: StandInListener;
    let reserved: ReservedNetwork;
    let gateway: GatewayProcess;
    let answers: readonly string[] = [];
    let answerCount = 0;
    const directory = mkdtempSync(join(tmpdir(), 'resident-'));
    let startedCount = 0;

    before(async () => {
      execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
      cluster = await createGatewayCluster(2);
      cluster.configure(config => {
        config.limits.max_body_bytes = MAX_BODY_BYTES;
      });
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = request => {
          request.body = Buffer.alloc(0);
          upstream.received.length = 0;
          const body = answers[answerCount++ % answers.length];
          return request.url.startsWith(ROUTE_PATHS.resumable)
            ? {kind: 'bulkStream', events: 3, eventBytes: body.length}
            : {kind: 'answer', body};
        };
      }
      store = await startStoreListener(cluster.store);
      reserved = await reserveNetwork(process.pid);
    });
    afterEach(() => gateway.stop());
    after(async () => {
      reserved.release();
      await store.close();
      await cluster.close();
    });

    for (const load of LOADS) {
      itOrKnownRed(
        `stays within ${memoryMb} MB with ${load.name}`,
        async () => {
          answers = load.answerBytes.map(bytes => 'a'.repeat(bytes));
          gateway = startGatewayProcess({
            index: ++startedCount,
            network: reserved.network,
            directory,
            storePort: store.port,
            dutyInterfacePort: cluster.duties.listener.port,
            limits: {memoryMb, descriptors: MAX_DESCRIPTORS},
          });
          await waitUntil(
            'the gateway to be ready',
            async () =>
              (
                await sendRawRequest({
                  address: gateway.readinessAddress,
                  host: HOST,
                  path: '/api/ready',
                })
              ).status === 200,
            READY_TIMEOUT_MS,
          );
          const idle = readResidentMemory(gateway.pid);
          const callers = startLargeCallers(
            gateway.address,
            ROUTE_PATHS.idempotent,
            {...load, streamPath: ROUTE_PATHS.resumable},
          );
          await sleep(LOAD_MS);
          const outcomes = [...callers.outcomes]
            .map(([status, count]) => `${status}: ${count}`)
            .join(', ');
          await callers.stop();
          const {pid} = gateway;
          const idleMb = idle!.currentMb;
          const {peakMb} = readResidentMemory(pid)!;
          console.log({memoryMb, load: load.name, idleMb, peakMb, outcomes});
          expect(gateway.unexpectedExits).toEqual([]);
          expect(peakMb).toBeLessThanOrEqual(memoryMb);
          expect(callers.outcomes.get(200) ?? 0).toBeGreaterThan(0);
          await waitUntil(
            'half of the memory beside the idle process to be free again',
            () => readResidentMemory(pid)!.currentMb <= (idleMb + memoryMb) / 2,
            GIVE_BACK_MS,
          );
        },
      );
    }
  });
}
