import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  startStoreListener,
  type StandInListener,
} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  ROUTE_PATHS,
  sendRawRequest,
  waitUntil,
  type GatewayCluster,
  type RawResponse,
} from '@sardinestile/hosting_tests';
import {
  startGatewayProcess,
  type GatewayProcess,
  type ProcessLimits,
} from './gateway_process.js';
import {reserveNetwork} from './reserve_network.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const EVENT_GAP_MS = 50;
const ANSWER_DELAY_MS = 2_000;

const TIMEOUT_MS = 30_000;

/** Number of events of each stream; they take 2 s. */
export const STREAM_EVENTS = 40;

/** One gateway process at a time, beside upstreams, a store and the duty interface. */
export interface SingleGateway {
  readonly cluster: GatewayCluster;
  readonly store: StandInListener;
  /** The process that was started last. */
  readonly process: GatewayProcess;
  start(environment?: Record<string, string>, limits?: ProcessLimits): void;
  isReady(): Promise<boolean>;
  waitUntilReady(): Promise<void>;
  /** Waits until the log has the text. */
  waitForLine(part: string): Promise<void>;
  waitForExit(): Promise<void>;
  readLog(): string;
  /** Sends a request, and waits until an upstream has received it. */
  startCall(
    path: string,
    requestId: string,
  ): Promise<{response: Promise<RawResponse>}>;
  close(): Promise<void>;
}

/** Builds the bundle and starts what a gateway process needs. */
export async function createSingleGateway(): Promise<SingleGateway> {
  execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
  const directory = mkdtempSync(join(tmpdir(), 'single-gateway-'));
  const cluster = await createGatewayCluster(2);
  for (const upstream of cluster.upstreams) {
    upstream.chooseBehaviour = ({url}) =>
      url === ROUTE_PATHS.stream
        ? {kind: 'stream', events: STREAM_EVENTS, gapMs: EVENT_GAP_MS}
        : {kind: 'answer', delayMs: ANSWER_DELAY_MS};
  }
  const store = await startStoreListener(cluster.store);
  const reserved = await reserveNetwork(process.pid);
  let gateway: GatewayProcess;
  let startedCount = 0;
  const readLog = () => readFileSync(gateway.logPath, 'utf8');
  const isReady = async () => {
    const {status} = await sendRawRequest({
      address: gateway.readinessAddress,
      host: HOST,
      path: '/api/ready',
    });
    return status === 200;
  };
  return {
    cluster,
    store,
    get process() {
      return gateway;
    },
    start(environment, limits) {
      gateway = startGatewayProcess({
        index: ++startedCount,
        network: reserved.network,
        directory,
        storePort: store.port,
        dutyInterfacePort: cluster.duties.listener.port,
        environment,
        limits,
      });
    },
    isReady,
    waitUntilReady: () =>
      waitUntil('the gateway to be ready', isReady, TIMEOUT_MS),
    waitForLine: part =>
      waitUntil(
        `a line with ${part}`,
        () => readLog().includes(part),
        TIMEOUT_MS,
      ),
    waitForExit: () =>
      waitUntil('the exit', () => gateway.exits.length > 0, TIMEOUT_MS),
    readLog,
    async startCall(path, requestId) {
      const response = sendRawRequest({
        address: gateway.address,
        host: HOST,
        path,
        headers: createKeyedHeaders(requestId),
        timeoutMs: TIMEOUT_MS,
      });
      await waitUntil('the call to reach an upstream', () =>
        cluster.upstreams.some(({received}) =>
          received.some(request => request.requestId === requestId),
        ),
      );
      return {response};
    },
    async close() {
      reserved.release();
      await store.close();
      await cluster.close();
    },
  };
}
