import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, afterEach, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  createKeyedHeaders,
  eventIds,
  HOST,
  numbersBelow,
  ROUTE_PATHS,
  sendRawRequest,
  waitUntil,
  type GatewayCluster,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const SIGNAL_WHILE_STARTING_MODULE = new URL(
  '../src/signal_while_starting.mjs',
  import.meta.url,
).href;

const EVENTS = 40;
const EVENT_GAP_MS = 50;

const TIMEOUT_MS = 30_000;

const ORDERLY_EXIT = {code: 0, signal: null};

describe('a gateway process that gets signals', () => {
  const directory = mkdtempSync(join(tmpdir(), 'signals-'));
  let cluster: GatewayCluster;
  let store: Awaited<ReturnType<typeof startStoreListener>>;
  let reserved: ReservedNetwork;
  let gateway: GatewayProcess;
  let startedCount = 0;

  before(async () => {
    execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
    cluster = await createGatewayCluster(2);
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = () => ({
        kind: 'stream',
        events: EVENTS,
        gapMs: EVENT_GAP_MS,
      });
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

  const start = (environment?: Record<string, string>) => {
    gateway = startGatewayProcess({
      index: ++startedCount,
      network: reserved.network,
      directory,
      storePort: store.port,
      dutyInterfacePort: cluster.duties.listener.port,
      environment,
    });
  };
  const startWithSignal = (signal: NodeJS.Signals) =>
    start({
      NODE_OPTIONS: `--import=${SIGNAL_WHILE_STARTING_MODULE}`,
      SIGNAL_WHILE_STARTING: signal,
    });
  const waitUntilReady = () =>
    waitUntil(
      'the gateway to be ready',
      async () => {
        const address = gateway.readinessAddress;
        const path = '/api/ready';
        return (
          (await sendRawRequest({address, host: HOST, path})).status === 200
        );
      },
      TIMEOUT_MS,
    );
  const waitForLine = (part: string) =>
    waitUntil(
      `a line with ${part}`,
      () => readFileSync(gateway.logPath, 'utf8').includes(part),
      TIMEOUT_MS,
    );
  const waitForExit = () =>
    waitUntil('the exit', () => gateway.exits.length > 0, TIMEOUT_MS);
  const startStream = async (requestId: string) => {
    const response = sendRawRequest({
      address: gateway.address,
      host: HOST,
      path: ROUTE_PATHS.stream,
      headers: createKeyedHeaders(requestId),
      timeoutMs: TIMEOUT_MS,
    });
    await waitUntil('the stream to start', () =>
      cluster.upstreams.some(({received}) =>
        received.some(request => request.requestId === requestId),
      ),
    );
    return response;
  };

  describe('while it drains', () => {
    it('finishes a stream when SIGTERM comes twice', async () => {
      start();
      await waitUntilReady();
      const stream = startStream('s1');
      await waitForLine('requestId=s1');
      gateway.signal('SIGTERM');
      await waitForLine('event=process_stopping');
      gateway.signal('SIGTERM');
      const response = await stream;
      expect(eventIds(response)).toEqual(numbersBelow(EVENTS));
      expect(response.isComplete).toEqual(true);
      await waitForExit();
      expect(gateway.exits[0]).toEqual(ORDERLY_EXIT);
    });

    it('serves its open requests when SIGHUP comes after a change of the settings', async () => {
      start();
      await waitUntilReady();
      const stream = startStream('s2');
      await waitForLine('requestId=s2');
      gateway.signal('SIGTERM');
      await waitForLine('event=process_stopping');
      gateway.rewriteSettings();
      gateway.signal('SIGHUP');
      const response = await stream;
      expect(eventIds(response)).toEqual(numbersBelow(EVENTS));
      expect(response.isComplete).toEqual(true);
      await waitForExit();
      expect(gateway.exits[0]).toEqual(ORDERLY_EXIT);
      const log = readFileSync(gateway.logPath, 'utf8');
      expect(log.includes('event=settings_reloaded')).toEqual(false);
    });
  });

  describe('while it starts', () => {
    it('survives a SIGHUP', async () => {
      startWithSignal('SIGHUP');
      await waitUntilReady();
      expect(gateway.exits).toEqual([]);
    });

    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      it(`ends in order when ${signal} comes`, async () => {
        startWithSignal(signal);
        await waitForExit();
        expect(gateway.exits[0]).toEqual(ORDERLY_EXIT);
        await waitForLine('event=process_stopped');
      });
    }
  });
});
