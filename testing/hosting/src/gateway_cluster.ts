import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {
  createConfigurationFeed,
  createDutyCalls,
  createPromptCacheReader,
  createStoreClient,
  createTableService,
  createUpstreamFeed,
  createUpstreamScaler,
  createUsageReceiver,
  platformHeaderCodec,
} from '@sardinestile/adapter_platform';
import {startGateway, type Gateway} from '@sardinestile/gateway';
import {
  createStoreState,
  startDutyStandIn,
  startStoreListener,
  startUpstreamStandIn,
  type DutyStandIn,
  type StandInListener,
  type StoreState,
  type UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {createLogger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {createSystemClock, type Clock} from '@sardinestile/types';
import {
  HOST,
  createInitialConfiguration,
  INITIAL_API_KEY,
  type StoredConfiguration,
} from './initial_configuration.js';
import {
  sendRawRequest,
  type RawResponse,
  type RawRequestOptions,
} from './raw_request.js';

/** Limits of the test cluster, shorter than in production. */
export interface TestLimits {
  keyWithdrawalLimitMs: number;
  drainLimitMs: number;
  zoneOutOfServiceLimitMs?: number;
  stopGraceMs: number;
  usageWindowMs: number;
  usageDueMs: number;
  leaseMs: number;
  /** Memory limit of each gateway, in megabytes; none if absent. */
  memoryLimitMb?: number;
}

const DEFAULT_LIMITS: TestLimits = {
  keyWithdrawalLimitMs: 3_000,
  drainLimitMs: 2_000,
  stopGraceMs: 8_000,
  usageWindowMs: 2_000,
  usageDueMs: 3_000,
  leaseMs: 1_000,
};

/** A gateway of the test cluster, with its own listener of the shared store. */
export interface TestGateway {
  readonly instance: string;
  readonly address: string;
  readonly readinessAddress: string;
  readonly store: StandInListener;
  readonly logs: string[];
  /** Stops or closes the gateway. */
  readonly handle: Gateway;
  call(
    options: Omit<RawRequestOptions, 'address' | 'host'>,
  ): Promise<RawResponse>;
  isReady(): Promise<boolean>;
  /** Returns the text of the metrics endpoint. */
  scrape(): Promise<string>;
}

/** A store, the duty interface, upstreams and gateways, all in this process. */
export interface GatewayCluster {
  readonly store: StoreState;
  readonly duties: DutyStandIn;
  readonly upstreams: UpstreamStandIn[];
  addUpstream(
    id: string,
    service?: string,
    softwareVersion?: string,
  ): Promise<UpstreamStandIn>;
  /** Writes the registration row of an upstream to the store. */
  register(upstream: UpstreamStandIn, fields?: Record<string, unknown>): void;
  /** Takes an availability zone out of service or back into it. */
  setZoneOutOfService(zone: string, isOutOfService: boolean): void;
  /** Writes the next version of the configuration and returns its number. */
  configure(change?: (config: StoredConfiguration) => void): number;
  startGateway(
    clock?: Clock,
    headerCodec?: typeof platformHeaderCodec,
  ): Promise<TestGateway>;
  close(): Promise<void>;
}

/** Starts a store, the duty interface and the given number of upstreams. */
export async function createGatewayCluster(
  upstreamCount = 2,
  limits: Partial<TestLimits> = {},
): Promise<GatewayCluster> {
  const store = createStoreState();
  const duties = await startDutyStandIn();
  const upstreams: UpstreamStandIn[] = [];
  const gateways: TestGateway[] = [];
  let startedGateways = 0;
  const closeCallbacks: Array<() => Promise<void>> = [
    () => duties.listener.close(),
  ];
  const config = createInitialConfiguration();

  const cluster: GatewayCluster = {
    store,
    duties,
    upstreams,
    async addUpstream(id, service = 'pool', softwareVersion = 'v1') {
      const upstream = await startUpstreamStandIn(id);
      upstream.service = service;
      upstream.softwareVersion = softwareVersion;
      upstreams.push(upstream);
      closeCallbacks.push(() => upstream.close());
      cluster.register(upstream);
      return upstream;
    },
    register(upstream, fields = {}) {
      store.putJson('servers', upstream.id, {
        service: upstream.service,
        address: upstream.address,
        zone: 'a',
        version: upstream.softwareVersion,
        slots: 8,
        state: 'ready',
        cold_left_ms: 0,
        seq: store.version,
        ...fields,
      });
    },
    setZoneOutOfService(zone, isOutOfService) {
      const key = `evacuate/${zone}`;
      if (isOutOfService) store.putJson('op', key, {});
      else store.remove('op', key);
    },
    configure(change) {
      config.version++;
      change?.(config);
      store.putJson('op', 'config', config);
      return config.version;
    },
    async startGateway(
      clock = createSystemClock(),
      headerCodec = platformHeaderCodec,
    ) {
      const testGateway = await startTestGateway(
        store,
        duties,
        {...DEFAULT_LIMITS, ...limits},
        {
          instance: `front-${++startedGateways}`,
          isFirstStart: startedGateways === 1,
          clock,
          headerCodec,
        },
      );
      gateways.push(testGateway);
      closeCallbacks.push(() => testGateway.store.close());
      return testGateway;
    },
    async close() {
      await Promise.all(gateways.map(({handle}) => handle.close()));
      await Promise.all(closeCallbacks.map(close => close()));
    },
  };
  for (let i = 1; i <= upstreamCount; i++) await cluster.addUpstream(`u${i}`);
  cluster.configure();
  return cluster;
}

interface TestGatewayOptions {
  instance: string;
  isFirstStart: boolean;
  clock: Clock;
  headerCodec: typeof platformHeaderCodec;
}

async function startTestGateway(
  state: StoreState,
  duties: DutyStandIn,
  limits: TestLimits,
  {instance, isFirstStart, clock, headerCodec}: TestGatewayOptions,
): Promise<TestGateway> {
  const listener = await startStoreListener(state);
  const store = createStoreClient({host: '127.0.0.1', port: listener.port});
  const dutyCalls = createDutyCalls({
    host: '127.0.0.1',
    port: duties.listener.port,
  });
  const [port, readyPort, peerPort, metricsPort] = await findFreePorts(4);
  const logs: string[] = [];
  const host = '127.0.0.1';
  const gateway = await startGateway({
    instance,
    isFirstStart,
    callerAddress: {host, port},
    readinessAddress: {host, port: readyPort},
    metricsAddress: {host, port: metricsPort},
    peerAddress: {host, port: peerPort},
    headerCodec,
    configuration: createConfigurationFeed(store),
    upstreams: createUpstreamFeed(store),
    storeRestores: store.restores,
    promptCacheReader: createPromptCacheReader(),
    table: createTableService({store, table: 'system', partition: 'p'}),
    usageReceiver: createUsageReceiver({
      calls: dutyCalls,
      instance,
      windowMs: limits.usageWindowMs,
    }),
    upstreamScaler: createUpstreamScaler({calls: dutyCalls, instance}),
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retryAllowance: 50,
    ...limits,
    clock,
    logger: createLogger({level: 'info', write: line => logs.push(line)}),
    metrics: createMetricsRegistry(),
  });
  const address = `${host}:${port}`;
  const readinessAddress = `${host}:${readyPort}`;
  const testGateway: TestGateway = {
    instance,
    address,
    readinessAddress,
    store: listener,
    logs,
    handle: gateway,
    call: options => sendRawRequest({...options, address, host: HOST}),
    async isReady() {
      const path = '/api/ready';
      const {status} = await sendRawRequest({
        address: readinessAddress,
        host,
        path,
      });
      return status === 200;
    },
    async scrape() {
      const metricsAddress = `${host}:${metricsPort}`;
      const path = '/metrics';
      const {body} = await sendRawRequest({
        address: metricsAddress,
        host,
        path,
      });
      return body.toString();
    },
  };
  await waitUntil('the gateway to be ready', () => testGateway.isReady());
  return testGateway;
}

/** Starts gateways and waits until each has found all others. */
export async function startConnectedGateways(
  cluster: GatewayCluster,
  count: number,
): Promise<TestGateway[]> {
  const gateways: TestGateway[] = [];
  for (let i = 0; i < count; i++) gateways.push(await cluster.startGateway());
  await waitUntil('the gateways to find each other', () =>
    gateways.every(
      ({logs}) =>
        logs.filter(line => line.includes('event=peer_found')).length >=
        count - 1,
    ),
  );
  return gateways;
}

/** Polls a condition until it holds; throws after the timeout. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      throw new Error(`timed out waiting for ${description}`);
    }
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

/** Returns the headers of a request with an API key. */
export function createKeyedHeaders(
  requestId: string,
  headers: Record<string, string> = {},
): Record<string, string> {
  return {
    'Request-Id': requestId,
    'Deadline-Ms': '8000',
    Authorization: `Bearer ${INITIAL_API_KEY}`,
    ...headers,
  };
}

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  await Promise.all(
    servers.map(
      server =>
        new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)),
    ),
  );
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}
