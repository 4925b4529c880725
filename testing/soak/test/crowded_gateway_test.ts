import {execFileSync} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  type GatewayCluster,
  HOST,
  ROUTE_PATHS,
  createGatewayCluster,
  createKeyedHeaders,
  createLargeHeaders,
  openCrowd,
  sendRawRequest,
  waitUntil,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Limits of the smallest deployment, and of one with usual machines. */
const MEMORY_LIMITS_MB = [202, 350];

/** Descriptors of a process in every deployment. */
const MAX_DESCRIPTORS = 4_100;

/** Connections of callers, close to the number of descriptors. */
const CROWD_SIZE = 3_700;

/** Time for which callers pipeline requests, in milliseconds. */
const FLOOD_MS = 10_000;

/** Time for which they stay, in milliseconds. */
const CROWD_MS = 2_500;

/** What callers of a crowd get; 0 for those that are closed without an answer. */
const CROWD_STATUSES: ReadonlySet<number> = new Set([0, 200, 404, 408, 503]);

/** Heap that a process may hold beyond that at its start once its callers have left. */
const MAX_HEAP_GROWTH_MB = 10;

const BYTES_PER_MB = 1_048_576;

const TIMEOUT_MS = 30_000;

function renderRequest(
  method: string,
  headers: Record<string, string>,
  body = '',
): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `${method} ${ROUTE_PATHS.once} HTTP/1.1\r\nHost: ${HOST}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

for (const memoryMb of MEMORY_LIMITS_MB) {
  describe(`a gateway process of ${memoryMb} MB with a crowd of callers`, () => {
    const directory = mkdtempSync(join(tmpdir(), 'crowd-'));
    let cluster: GatewayCluster;
    let store: Awaited<ReturnType<typeof startStoreListener>>;
    let reserved: ReservedNetwork;
    let gateway: GatewayProcess;
    let startedCount = 0;
    let heapAtStartMb: number;
    let soundStatuses: number[];
    let isSending: boolean;
    let soundCallers: Promise<void>;

    before(async () => {
      execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
      cluster = await createGatewayCluster(2);
      store = await startStoreListener(cluster.store);
      reserved = await reserveNetwork(process.pid);
    });
    after(async () => {
      reserved.release();
      await store.close();
      await cluster.close();
    });

    const read = (address: string, path: string) =>
      sendRawRequest({address, host: HOST, path, timeoutMs: TIMEOUT_MS});
    const readMetric = async (name: string) => {
      const {body} = await read(gateway.metricsAddress, '/metrics');
      const value = new RegExp(`^${name} (\\S+)$`, 'm').exec(body)?.[1];
      return Number(value) / BYTES_PER_MB;
    };
    const readHeapMb = () => readMetric('sardinestile_process_heap_used_bytes');
    const readResidentMb = () =>
      readMetric('sardinestile_process_resident_bytes');
    const sendSoundCalls = async () => {
      for (let count = 0; isSending; count++) {
        const call = sendRawRequest({
          address: gateway.address,
          host: HOST,
          path: ROUTE_PATHS.idempotent,
          headers: createKeyedHeaders(`sound-${startedCount}-${count}`),
          timeoutMs: TIMEOUT_MS,
        }).catch(() => ({status: 0}));
        soundStatuses.push((await call).status);
        await sleep(20);
      }
    };
    beforeEach(async () => {
      gateway = startGatewayProcess({
        index: ++startedCount,
        network: reserved.network,
        directory,
        storePort: store.port,
        dutyInterfacePort: cluster.duties.listener.port,
        limits: {
          memoryMb,
          descriptors: MAX_DESCRIPTORS,
        },
      });
      await waitUntil(
        'the gateway to be ready',
        async () =>
          (await read(gateway.readinessAddress, '/api/ready')).status === 200,
        TIMEOUT_MS,
      );
      heapAtStartMb = await readHeapMb();
      soundStatuses = [];
      isSending = true;
      soundCallers = sendSoundCalls();
    });
    afterEach(async () => {
      isSending = false;
      await gateway.stop();
      await soundCallers;
    });

    /** Waits until garbage was collected and the heap is as at the start. */
    const waitForUsualHeap = () =>
      waitUntil(
        'the heap to be as at the start',
        async () => (await readHeapMb()) < heapAtStartMb + MAX_HEAP_GROWTH_MB,
        TIMEOUT_MS,
      );
    const expectSoundService = async () => {
      const before = soundStatuses.length;
      await waitUntil('sound calls', () => soundStatuses.length > before + 10);
      const statuses = soundStatuses.slice(before + 1);
      expect(statuses.filter(status => status !== 200)).toEqual([]);
    };

    it('is not ended by pipelined requests on connections that are reset', async () => {
      const request = renderRequest('POST', {
        ...createKeyedHeaders('pipelined'),
        'Content-Length': '0',
      });
      const endAtMs = performance.now() + FLOOD_MS;
      while (performance.now() < endAtMs && gateway.exits.length === 0) {
        const crowd = await openCrowd(gateway.address, 10, request.repeat(40));
        await sleep(40);
        crowd.leave();
      }
      expect(gateway.exits).toEqual([]);
      expect(soundStatuses.filter(status => status !== 200)).toEqual([]);
      await waitForUsualHeap();
    });

    const createCall = (headers: Record<string, string>) =>
      renderRequest(
        'POST',
        {
          ...createKeyedHeaders('crowd'),
          ...headers,
          'Content-Length': '90000',
        },
        'b'.repeat(8_000),
      );
    const crowds: Array<{name: string; text: string; size?: number}> = [
      {
        name: '8 KB of headers and a part of a body',
        text: createCall(createLargeHeaders(8_192, 8)),
      },
      {
        name: '8 KB of many headers and a part of a body',
        text: createCall(createLargeHeaders(8_192, 150)),
      },
      {
        name: '13 KB of headers and a part of a body',
        text: createCall(createLargeHeaders(13_312, 13)),
      },
      {
        name: 'headers that do not end',
        text: `GET / HTTP/1.1\r\n${'a:b\r\n'.repeat(2_500)}`,
      },
      {
        name: 'requests that wait behind a call',
        text:
          renderRequest('GET', createKeyedHeaders('first')) +
          renderRequest('GET', createLargeHeaders(4_096, 150)).repeat(12),
      },
      {
        name: 'thousands of requests at once',
        size: 300,
        text: 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(2_400),
      },
    ];
    for (const {name, text, size = CROWD_SIZE} of crowds) {
      it(`is not ended by ${size} connections with ${name}`, async () => {
        const crowd = await openCrowd(gateway.address, size, text);
        await sleep(CROWD_MS);
        expect(gateway.exits).toEqual([]);
        expect(await readResidentMb()).toBeLessThan(memoryMb);
        // What was not served was refused as not run, timed out or was closed unread.
        const statuses = [...crowd.outcomes.keys()];
        const isUsual = (status: number) => CROWD_STATUSES.has(status);
        expect(statuses.filter(status => !isUsual(status))).toEqual([]);
        crowd.leave();
        await expectSoundService();
        await waitForUsualHeap();
        expect(gateway.exits).toEqual([]);
      });
    }
  });
}
