import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {
  createConfigurationFeed,
  createDutyCalls,
  createStoreClient,
  createTableService,
  createUpstreamFeed,
  createUpstreamStarter,
  createUsageReceiver,
  platformDialect,
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
  initialConfiguration,
  KEY,
  type WireConfiguration,
} from './initial_configuration.js';
import {rawCall, type RawAnswer, type RawCallOptions} from './raw_call.js';

/** Bounds of the tests' deployment, shorter than any real one. */
export interface HostedBounds {
  keyWithdrawalLimitMs: number;
  drainLimitMs: number;
  stopGraceMs: number;
  usageWindowMs: number;
  leaseMs: number;
}

const DEFAULT_BOUNDS: HostedBounds = {
  keyWithdrawalLimitMs: 3_000,
  drainLimitMs: 2_000,
  stopGraceMs: 8_000,
  usageWindowMs: 2_000,
  leaseMs: 1_000,
};

/** A gateway of the world, with a store listener of its own. */
export interface HostedGateway {
  readonly instance: string;
  readonly address: string;
  readonly readinessAddress: string;
  readonly store: StandInListener;
  readonly logs: string[];
  readonly gateway: Gateway;
  call(options: Omit<RawCallOptions, 'address' | 'host'>): Promise<RawAnswer>;
  isReady(): Promise<boolean>;
  /** What a scrape of the metrics gets. */
  scrape(): Promise<string>;
}

/** A deployment of stand-ins. */
export interface HostedWorld {
  readonly store: StoreState;
  readonly duties: DutyStandIn;
  readonly upstreams: UpstreamStandIn[];
  addUpstream(id: string, service?: string): Promise<UpstreamStandIn>;
  /** Writes the entry that an upstream registers. */
  register(upstream: UpstreamStandIn, fields?: Record<string, unknown>): void;
  /** Writes the next version of the configuration. */
  configure(change?: (config: WireConfiguration) => void): number;
  startGateway(clock?: Clock): Promise<HostedGateway>;
  close(): Promise<void>;
}

/** Starts a store, the duty interface and as many upstreams as asked for. */
export async function createHostedWorld(
  upstreamCount = 2,
  bounds: Partial<HostedBounds> = {},
): Promise<HostedWorld> {
  const store = createStoreState();
  const duties = await startDutyStandIn();
  const upstreams: UpstreamStandIn[] = [];
  const gateways: HostedGateway[] = [];
  const closers: Array<() => Promise<void>> = [() => duties.listener.close()];
  const config = initialConfiguration();

  const world: HostedWorld = {
    store,
    duties,
    upstreams,
    async addUpstream(id, service = 'pool') {
      const upstream = await startUpstreamStandIn(id);
      upstreams.push(upstream);
      closers.push(() => upstream.close());
      world.register(upstream, {service});
      return upstream;
    },
    register(upstream, fields = {}) {
      store.putJson('servers', upstream.id, {
        service: 'pool',
        address: upstream.address,
        zone: 'a',
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_left_ms: 0,
        seq: store.version,
        ...fields,
      });
    },
    configure(change) {
      config.version++;
      change?.(config);
      store.putJson('op', 'config', config);
      return config.version;
    },
    async startGateway(clock = createSystemClock()) {
      const hosted = await startHostedGateway(
        store,
        duties,
        {...DEFAULT_BOUNDS, ...bounds},
        `front-${gateways.length + 1}`,
        clock,
      );
      gateways.push(hosted);
      closers.push(() => hosted.store.close());
      return hosted;
    },
    async close() {
      await Promise.all(gateways.map(({gateway}) => gateway.close()));
      await Promise.all(closers.map(close => close()));
    },
  };
  for (let i = 1; i <= upstreamCount; i++) await world.addUpstream(`u${i}`);
  world.configure();
  return world;
}

async function startHostedGateway(
  state: StoreState,
  duties: DutyStandIn,
  bounds: HostedBounds,
  instance: string,
  clock: Clock,
): Promise<HostedGateway> {
  const listener = await startStoreListener(state);
  const store = createStoreClient({host: '127.0.0.1', port: listener.port});
  const calls = createDutyCalls({
    host: '127.0.0.1',
    port: duties.listener.port,
  });
  const [port, readyPort, peerPort, metricsPort] = await freePorts(4);
  const logs: string[] = [];
  const host = '127.0.0.1';
  const gateway = await startGateway({
    instance,
    callerAddress: {host, port},
    readinessAddress: {host, port: readyPort},
    metricsAddress: {host, port: metricsPort},
    peerAddress: {host, port: peerPort},
    dialect: platformDialect,
    configuration: createConfigurationFeed(store),
    upstreams: createUpstreamFeed(store),
    table: createTableService({store, table: 'system', partition: 'p'}),
    usageReceiver: createUsageReceiver({
      calls,
      instance,
      windowMs: bounds.usageWindowMs,
    }),
    upstreamStarter: createUpstreamStarter({calls, instance}),
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retryAllowance: 50,
    ...bounds,
    clock,
    logger: createLogger({level: 'info', write: line => logs.push(line)}),
    metrics: createMetricsRegistry(),
  });
  const address = `${host}:${port}`;
  const readinessAddress = `${host}:${readyPort}`;
  const hosted: HostedGateway = {
    instance,
    address,
    readinessAddress,
    store: listener,
    logs,
    gateway,
    call: options => rawCall({...options, address, host: HOST}),
    async isReady() {
      const path = '/api/ready';
      const {status} = await rawCall({address: readinessAddress, host, path});
      return status === 200;
    },
    async scrape() {
      const metricsAddress = `${host}:${metricsPort}`;
      const path = '/metrics';
      const {body} = await rawCall({address: metricsAddress, host, path});
      return body.toString();
    },
  };
  await waitFor('the gateway to be ready', () => hosted.isReady());
  return hosted;
}

/** Waits until a condition holds. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      throw new Error(`waited in vain for ${what}`);
    }
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

/** Headers of a keyed request. */
export function keyed(
  requestId: string,
  headers: Record<string, string> = {},
): Record<string, string> {
  return {
    'Request-Id': requestId,
    'Deadline-Ms': '8000',
    Authorization: `Bearer ${KEY}`,
    ...headers,
  };
}

async function freePorts(count: number): Promise<number[]> {
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
