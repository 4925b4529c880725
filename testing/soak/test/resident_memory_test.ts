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
import {expect} from 'earl';
import {execFileSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {
  startLargeCallers,
  type LargeCallPattern,
} from '../src/large_callers.js';
import {readResidentMemory} from '../src/process_peak.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const MEMORY_LIMITS_MB = [200, 250, 350, 602];
const MAX_DESCRIPTORS = 4_100;
const KB = 1_024;
const MB = 1_048_576;

/** Time for which callers send, in milliseconds. */
const LOAD_MS = 6_000;
const READY_TIMEOUT_MS = 10_000;

interface LargeLoad extends LargeCallPattern {
  name: string;
  answerBytes: number;
}

const LOADS: readonly LargeLoad[] = [
  {
    name: 'bodies and answers of 1 MB, a third of them read slowly',
    bodyBytes: [MB],
    answerBytes: MB,
    callers: 300,
    slowEvery: 3,
  },
  {
    name: 'bodies and answers of 256 KB',
    bodyBytes: [256 * KB],
    answerBytes: 256 * KB,
    callers: 300,
  },
  {
    name: 'bodies of 64 KB to 4 MB',
    bodyBytes: [4 * MB, 64 * KB, MB, 16 * KB, 256 * KB],
    answerBytes: 2,
    callers: 100,
  },
  {
    name: 'answers of 1 MB',
    bodyBytes: [2],
    answerBytes: MB,
    callers: 100,
  },
];

for (const memoryMb of MEMORY_LIMITS_MB) {
  describe(`a gateway process of ${memoryMb} MB`, () => {
    let cluster: GatewayCluster;
    let store: StandInListener;
    let reserved: ReservedNetwork;
    let gateway: GatewayProcess;
    let answer = '';
    const directory = mkdtempSync(join(tmpdir(), 'resident-'));
    let startedCount = 0;

    before(async () => {
      execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
      cluster = await createGatewayCluster(2);
      cluster.configure(config => {
        config.limits.max_body_bytes = 4 * MB;
      });
      for (const upstream of cluster.upstreams) {
        upstream.chooseBehaviour = request => {
          request.body = Buffer.alloc(0);
          upstream.received.length = 0;
          return {kind: 'answer', body: answer};
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
          answer = 'a'.repeat(load.answerBytes);
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
            load,
          );
          await sleep(LOAD_MS);
          const outcomes = [...callers.outcomes]
            .map(([status, count]) => `${status}: ${count}`)
            .join(', ');
          await callers.stop();
          const memory = readResidentMemory(gateway.pid);
          console.log(
            memoryMb,
            load.name,
            'idle',
            idle?.currentMb,
            memory,
            outcomes,
          );
          expect(gateway.unexpectedExits).toEqual([]);
          expect(memory!.peakMb).toBeLessThanOrEqual(memoryMb);
          expect(callers.outcomes.get(200) ?? 0).toBeGreaterThan(0);
        },
      );
    }
  });
}
