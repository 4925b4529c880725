import {getHeapStatistics} from 'node:v8';
import {addAdminApi} from '@sardinestile/api';
import {
  createAddressOpener,
  createHeapBudget,
  createInputBoundary,
  type AddressOpener,
  type InputBoundary,
} from '@sardinestile/connections';
import type {Duty} from '@sardinestile/duties';
import {startHttpServer, type HttpServer} from '@sardinestile/http';
import type {Logger} from '@sardinestile/logger';
import {
  createBufferCollector,
  readMemoryLimitBytes,
} from '@sardinestile/memory';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {OPS_DRAIN_LIMIT_MS, startOpsServer} from '@sardinestile/ops';
import {chooseSubset, createEntryRetryBudget} from '@sardinestile/placement';
import type {
  Instance,
  InstanceList,
  ObjectStore,
  TableService,
  UpstreamScaler,
  UsageReceiver,
} from '@sardinestile/ports';
import {createConfigReplica, encodeConfigUpdate} from '@sardinestile/replica';
import {startSessionServer, type ConfigPush} from '@sardinestile/session';
import {createConfigStore, type ConfigStore} from '@sardinestile/store';
import {createSystemRandom} from '@sardinestile/types';
import {readSealedUsage} from '@sardinestile/usage';
import {bodyBytesLimit, createBodyBudget} from './body_budget.js';
import {createCallerApi, createMemoryRefusalApi} from './caller_api.js';
import {startConfigFollower} from './config_follower.js';
import {startDuties} from './duties.js';
import type {EntryContext} from './entry_context.js';
import {recordHeldMemory} from './gauges.js';
import {createOrganisationLimits} from './organisation_limits.js';
import {createRequestRegistry} from './request_registry.js';
import {createSessionPool} from './session_pool.js';
import {startUsageFlusher, type UsageFlusher} from './usage_flusher.js';

/** Interfaces of the hosting platform that an entry uses. */
export interface EntryPlatform {
  table: TableService;
  objectStore: ObjectStore;
  instanceList: InstanceList;
  usageReceiver: UsageReceiver;
  upstreamScaler: UpstreamScaler;
}

/** Options for startEntry. */
export interface EntryOptions {
  instance: string;
  availabilityZone: string;
  host: string;
  /** Port for callers; 0 picks a free port. */
  port: number;
  /** Port where other entries pull the configuration; 0 picks a free port. */
  peerPort: number;
  /**
   * Port for operators (metrics, health, state, admin API); 0 picks a free
   * port.
   */
  opsPort: number;
  adminKey: string;
  /** Number of agents of each service that the entry connects to. */
  subsetSize: number;
  maxBodyBytes: number;
  keyFreshnessLimitMs: number;
  /**
   * Delay between the start of shutdown, when the entry stops being ready, and
   * the closing of its listener.
   */
  leaveDelayMs: number;
  /** Heap for objects that live long, in bytes; the limit of the whole heap by default. */
  heapLimitBytes?: number;
  /** Memory that the process may use, in bytes; that of its container or machine by default. */
  memoryLimitBytes?: number;
  /** Descriptors that the process may have open; absent for no limit. */
  maxDescriptors?: number;
  /**
   * Time for which the start waits for addresses that are not available, in milliseconds;
   * it does not wait if absent.
   */
  addressWaitLimitMs?: number;
  /** Ends the start, which rejects with its reason. */
  startSignal?: AbortSignal;
  platform: EntryPlatform;
  logger: Logger;
}

/** A running entry, with the ports it listens on. */
export interface Entry {
  port: number;
  peerPort: number;
  opsPort: number;
  /** Waits for open requests to finish, then stops. */
  stop(): Promise<void>;
}

/**
 * Minimum number of agents of each subset that are in other availability zones,
 * so that a lost zone leaves some.
 */
const MIN_OTHER_ZONE_AGENTS = 2;

/** Heap of an entry without callers: its code, configuration and sessions to agents. */
const PROCESS_HEAP_BYTES = 31_457_280;

/** Heap of a request with few headers, its attempts and its response. */
const REQUEST_HEAP_BYTES = 36_864;

/** Starts an entry: its listeners, its sessions to agents and its duties. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const {logger, instance, host} = options;
  const components = await startComponents(options);
  const {context, duties, flusher, boundary} = components;
  const {follower, pool, registry, replica} = context;
  let isShuttingDown = false;

  const addresses = createAddressOpener({
    logger,
    limitMs: options.addressWaitLimitMs,
    signal: options.startSignal,
  });
  const [peerServer, opsServer] = await Promise.all([
    startSessionServer({
      host,
      port: options.peerPort,
      pullConfig: since =>
        encodeConfigUpdate(replica.createUpdateSince(since)) as ConfigPush,
      addresses,
      purpose: 'peers',
      boundary,
    }),
    startEntryOpsServer(options, components, addresses, () => isShuttingDown),
  ]);
  // Opened last: a start that ends while it waits drops what it has taken.
  const callerServer = await startHttpServer({
    app: createCallerApi(context),
    host,
    port: options.port,
    addresses,
    boundary,
    input: 'callerRequest',
    heap: {
      budget: context.heapBudget,
      refusalApp: createMemoryRefusalApi(context),
      logger,
      metrics: context.metrics,
    },
  });
  logger.info('process_started', {
    role: 'entry',
    instance,
    address: `${host}:${callerServer.port}`,
    opsAddress: `${host}:${opsServer.port}`,
    peerAddress: `${host}:${peerServer.port}`,
    startMs: Math.round(performance.now()),
    addressWaits: addresses.waits || undefined,
  });

  return {
    port: callerServer.port,
    peerPort: peerServer.port,
    opsPort: opsServer.port,
    stop: async () => {
      isShuttingDown = true;
      logger.info('process_stopping', {instance, openRequests: registry.size});
      callerServer.disableKeepAlive();
      await delay(options.leaveDelayMs);
      const drained = callerServer.drain();
      await registry.whenEmpty();
      await drained;
      await flusher.stop();
      duties.stop();
      follower.stop();
      pool.close();
      await Promise.all([
        peerServer.close(),
        opsServer.drain(OPS_DRAIN_LIMIT_MS),
      ]);
      logger.info('process_stopped', {instance});
    },
  };
}

/** The components of an entry other than its listeners. */
interface EntryComponents {
  context: EntryContext;
  store: ConfigStore;
  flusher: UsageFlusher;
  duties: Duty;
  boundary: InputBoundary;
}

async function startComponents(
  options: EntryOptions,
): Promise<EntryComponents> {
  const {logger, instance, platform} = options;
  const {table} = platform;
  const replica = createConfigReplica();
  const metrics = createMetricsRegistry({logger});
  const boundary = createInputBoundary({logger, metrics});
  const pool = createSessionPool({instance, replica, logger, boundary});
  const registry = createRequestRegistry();
  const store = createConfigStore({
    table,
    objects: platform.objectStore,
    replica,
    nowMs: Date.now,
  });
  replica.onVersionIncrease(version => {
    logger.info('config_applied', {version, source: 'store'});
    registry.endRequestsWithInvalidKeys(keyId => replica.hasKey(keyId));
    pool.announceVersion();
  });
  const follower = await startConfigFollower({
    instance,
    store,
    replica,
    instanceList: platform.instanceList,
    logger,
    keyFreshnessLimitMs: options.keyFreshnessLimitMs,
    onInstancesRead: instances =>
      pool.setMembers(chooseAgents(options, instances)),
  });
  const flusher = startUsageFlusher({instance, table, logger});
  const duties = startDuties({
    instance,
    replica,
    pool,
    platform,
    logger,
    follower,
  });
  const heapLimitBytes =
    options.heapLimitBytes ?? getHeapStatistics().heap_size_limit;
  const memoryLimitBytes = options.memoryLimitBytes ?? readMemoryLimitBytes();
  const context: EntryContext = {
    instance,
    availabilityZone: options.availabilityZone,
    maxBodyBytes: options.maxBodyBytes,
    logger,
    metrics,
    heapBudget: createHeapBudget({
      heapLimitBytes,
      maxDescriptors: options.maxDescriptors,
      processBytes: PROCESS_HEAP_BYTES,
      requestBytes: REQUEST_HEAP_BYTES,
    }),
    bodyBudget: createBodyBudget(
      bodyBytesLimit(memoryLimitBytes, heapLimitBytes),
    ),
    bufferCollector: createBufferCollector(),
    replica,
    follower,
    pool,
    registry,
    limits: createOrganisationLimits(),
    retryBudget: createEntryRetryBudget(),
    random: createSystemRandom(),
    table,
    usage: flusher.source,
  };
  return {context, store, flusher, duties, boundary};
}

function startEntryOpsServer(
  options: EntryOptions,
  {context, store, flusher, boundary}: EntryComponents,
  addresses: AddressOpener,
  isShuttingDown: () => boolean,
): Promise<HttpServer> {
  const {instance, availabilityZone, adminKey} = options;
  const {replica, metrics, follower, pool, registry, table} = context;
  return startOpsServer({
    host: options.host,
    port: options.opsPort,
    addresses,
    adminKey,
    metrics: {
      ...metrics,
      render() {
        recordHeldMemory(context);
        return metrics.render();
      },
    },
    boundary,
    isReady: () => !isShuttingDown() && replica.version > 0,
    dumpState: () => ({
      role: 'entry',
      instance,
      availabilityZone,
      configVersion: replica.version,
      areKeysFresh: follower.areKeysFresh,
      isLeaving: isShuttingDown(),
      unstoredUsage: flusher.source.dump(),
      savedRetries: context.retryBudget.savedRetries,
      sessions: pool.dump(),
      requests: registry.dump(),
    }),
    addRoutes: app =>
      addAdminApi(app, {
        adminKey,
        replica,
        store,
        readUsage: async windowId =>
          (await readSealedUsage(table, windowId)).map(window => ({
            ...window,
            sums: Object.fromEntries(window.sums),
          })),
      }),
  });
}

/**
 * Chooses the agents that an entry connects to: one subset for each service.
 */
function chooseAgents(
  options: EntryOptions,
  instances: readonly Instance[],
): Instance[] {
  const agents = instances.filter(instance => instance.role === 'agent');
  const services = new Set(agents.map(agent => agent.service));
  return [...services].flatMap(service =>
    chooseSubset({
      entryId: options.instance,
      availabilityZone: options.availabilityZone,
      members: agents.filter(agent => agent.service === service),
      size: options.subsetSize,
      minOtherZoneMembers: MIN_OTHER_ZONE_AGENTS,
    }),
  );
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
