import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  ROUTE_PATHS,
  sendRawRequest,
  waitUntil,
  type GatewayCluster,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {startGatewayProcess, type GatewayProcess} from '../src/index.js';
import {reserveNetwork, type ReservedNetwork} from '../src/reserve_network.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** A response at which the HTTP client fails an assertion. */
const IMPOSSIBLE_RESPONSE = Buffer.from(
  'HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n',
);

/** Pause after which a gateway itself says that it stood still, in milliseconds. */
const MAX_PAUSE_MS = 1_000;

/** Time in which a failed assertion would have held up the process, in milliseconds. */
const WATCH_MS = 3_000;

const START_TIMEOUT_MS = 15_000;

describe('a gateway process in which an assertion of a package fails', () => {
  let cluster: GatewayCluster;
  let store: Awaited<ReturnType<typeof startStoreListener>>;
  let reserved: ReservedNetwork;
  let gateway: GatewayProcess;

  before(async () => {
    execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
    cluster = await createGatewayCluster(1);
    store = await startStoreListener(cluster.store);
    reserved = await reserveNetwork(process.pid);
    gateway = startGatewayProcess({
      index: 1,
      network: reserved.network,
      directory: mkdtempSync(join(tmpdir(), 'assertions-')),
      storePort: store.port,
      dutyInterfacePort: cluster.duties.listener.port,
    });
    const isReady = async () => (await askReady()).status === 200;
    await waitUntil('the gateway to be ready', isReady, START_TIMEOUT_MS);
  });
  after(async () => {
    await gateway.stop();
    reserved.release();
    await store.close();
    await cluster.close();
  });

  const askReady = () =>
    sendRawRequest({
      address: gateway.readinessAddress,
      host: HOST,
      path: '/api/ready',
    });

  it('goes on at once', async () => {
    cluster.upstreams[0].chooseBehaviour = () => ({
      kind: 'raw',
      bytes: IMPOSSIBLE_RESPONSE,
    });
    const {status} = await sendRawRequest({
      address: gateway.address,
      host: HOST,
      path: ROUTE_PATHS.once,
      headers: createKeyedHeaders('impossible'),
    });
    expect(status).toEqual(502);
    const endMs = performance.now() + WATCH_MS;
    while (performance.now() < endMs) {
      const askedAtMs = performance.now();
      expect((await askReady()).status).toEqual(200);
      expect(performance.now() - askedAtMs < MAX_PAUSE_MS).toEqual(true);
      await sleep(50);
    }
    const log = readFileSync(gateway.logPath, 'utf8');
    expect(log.includes('event=process_stood_still')).toEqual(false);
  });
});
