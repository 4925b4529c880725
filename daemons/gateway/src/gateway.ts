import {setMaxListeners} from 'node:events';
import {getHeapStatistics} from 'node:v8';
import {createReturnSchedule} from '@sardinestile/admission';
import {
  createAddressOpener,
  createHeapBudget,
  createInputBoundary,
} from '@sardinestile/connections';
import {
  assignGroup,
  createUpstreamFleet,
  selectGroup,
} from '@sardinestile/fleet';
import {
  createPauseDetector,
  createSlewedTime,
  createPeerAdjustedTime,
} from '@sardinestile/freshness';
import {NO_RESTORES} from '@sardinestile/ports';
import {createLedgerLink, type LedgerLink} from '@sardinestile/ledger';
import {createPeerClient, createPeerServer} from '@sardinestile/peer';
import {createCacheRecovery} from './upstreams/cache_recovery.js';
import {createCallerListener} from './calls/caller_listener.js';
import {recordConnectionEnd} from './calls/record_connection_end.js';
import {
  createConfigView,
  REWRITE_TIME_MS,
  type ConfigView,
} from './shared/config_view.js';
import {createColdWatch} from './upstreams/cold_watch.js';
import {createConnectionPool} from './upstreams/connection_pool.js';
import {createCrashWatch, type CrashWatch} from './upstreams/crash_watch.js';
import {createMemoryWatch} from './memory/memory_watch.js';
import {createProcessMemory} from './memory/process_memory.js';
import {
  DEFAULT_OUTPUT_TOKEN_WEIGHT,
  startFairShares,
  type FairShares,
} from './shared/fair_shares.js';
import {createFleetReporter} from './shared/fleet_reporter.js';
import {createGatewayCount} from './shared/gateway_count.js';
import type {GatewayContext} from './gateway_context.js';
import {refreshGauges} from './gauges.js';
import type {DeploymentLimits, GatewayOptions} from './gateway_options.js';
import {createPeerCalls} from './shared/peer_calls.js';
import {
  startPeerRegistry,
  type RegisteredGateway,
} from './shared/peer_registry.js';
import {createRetryBudgets} from './calls/retry_budgets.js';
import {startScalingDuties} from './duties/scaling_duties.js';
import {createSharedConfig} from './shared/shared_config.js';
import {
  startSharedQuarantine,
  type SharedQuarantine,
} from './shared/shared_quarantine.js';
import {createSharedUpstreams} from './shared/shared_upstreams.js';
import {createServedTargetStore} from './shared/served_target_store.js';
import {createServedVersionStore} from './shared/served_version_store.js';
import {createStreamContinuations} from './shared/stream_continuations.js';
import {serveCall} from './calls/serve_call.js';
import type {RecentValueContext} from './shared/recent_value_row.js';
import {reportDivision} from './shared/report_division.js';
import {chooseStoreReader} from './shared/store_reader.js';
import {createZoneView} from './shared/zone_view.js';
import {createTextServers, openInBackground} from './text_server.js';
import {createUpstreamView} from './upstreams/upstream_view.js';
import {createResponseTimes} from './calls/response_times.js';
import {startUsageDuties} from './duties/usage_duties.js';

/** Interval of the periodic checks, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 100;

/**
 * Delay of the periodic checks from which the process counts as having been
 * paused, in milliseconds.
 */
const PROCESS_PAUSE_TOLERANCE_MS = 1_500;

/**
 * Margin by which the greatest accepted age of keys is below the revocation
 * limit, in milliseconds.
 */
const KEY_AGE_MARGIN_MS = 400;

/**
 * Time before the end of the grace period at which the remaining connections
 * are closed, in milliseconds.
 */
const STOP_MARGIN_MS = 500;

/** Time limit for sending the last answers to callers, in milliseconds. */
const LAST_ANSWERS_TIMEOUT_MS = 150;

/** Time limit for the last writes of a stopping gateway, in milliseconds. */
const LAST_WRITE_TIMEOUT_MS = 200;

/**
 * Time limit for delivering metrics and readiness at a stop, in milliseconds;
 * part of the time for the last writes.
 */
const TEXT_DRAIN_LIMIT_MS = 150;

/**
 * Time after which upstreams of a zone that is out of service must receive no request,
 * unless the deployment states another one, in milliseconds.
 */
const DEFAULT_ZONE_OUT_OF_SERVICE_LIMIT_MS = 5_000;

/**
 * Number of times that the configuration is confirmed within the shorter one of the
 * limits on revoked keys and on zones out of service: by a gateway that reads the
 * store, and by one that follows it. The latter adds its own wait to the age that
 * it is told.
 */
const CONFIG_CHECKS_PER_LIMIT = 6;
const FOLLOWED_CONFIG_CHECKS_PER_LIMIT = 12;

/** Greatest age of a followed confirmation, as a share of that limit. */
const MAX_FOLLOWED_AGE_SHARE = 0.5;

/** Largest size of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** A running gateway. */
export interface Gateway {
  /**
   * Drains the open requests, then closes; requests that outlast the grace period are
   * aborted. The period counts from `signalledAtMs`, the earliest time by performance.now()
   * at which the signal may have been sent, or from now if it is absent.
   */
  stop(signalledAtMs?: number): Promise<void>;
  /** Closes all connections at once. */
  close(): Promise<void>;
  /** Applies new limits and reads the configuration and the upstreams again. */
  reload(limits: DeploymentLimits): void;
}

/** Starts a gateway; resolves when it listens for callers. */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const {clock, logger, metrics, instance, table, peerAddress} = options;
  const {storeRestores = NO_RESTORES} = options;
  const boundary = createInputBoundary({logger, metrics});
  let isStopping = false;
  let fleetId: string | undefined;
  const peerClient = createPeerClient(() => fleetId);
  const peers = createPeerCalls(peerClient, () => link, logger);
  const fleet = createUpstreamFleet({
    traitsOf: name => config.routes()?.findService(name)?.engine,
    shortestTargetGapMs: name =>
      config.routes()?.shortestTargetGapMs(name) ?? Infinity,
    resourceCosts: options.resourceCosts,
    coldStartOf: name => config.routes()?.findService(name)?.coldStart,
    get gateways() {
      return gateways;
    },
    heardShareOfGroup() {
      const heard = 1 + link.livePeers().length;
      const registered = 1 + (groupPeers?.length ?? gateways.inGroup - 1);
      return heard / Math.max(heard, registered);
    },
    onDivisionChange: change => reportDivision(change, logger, metrics),
  });
  const slewedTimeMs = createSlewedTime(clock);
  const link: LedgerLink = createLedgerLink({
    instance,
    address: peerAddress,
    clock,
    slewedTimeMs,
    logger,
    boundary,
    observer: {
      onUpdate(peer, event, isFromOtherGroup) {
        reporter.applyPeerUpdate(peer, event, isFromOtherGroup);
        if (isFromOtherGroup) {
          metrics.increment('sardinestile_other_group_updates_total', {});
        }
      },
      onPeerLost: peer => fleet.removeGateway(peer, clock.monotonicMs()),
    },
    status: () => ({isStopping, hasSeenDutyHeld: usage?.isDutyHeld() ?? false}),
  });
  const addresses = createAddressOpener({
    logger,
    limitMs: options.addressWaitLimitMs ?? 0,
    signal: options.startSignal,
  });
  try {
    // Opened first: while a process before this one has the address, it may also have
    // duties in the name of this instance.
    await link.open(addresses);
  } catch (error) {
    link.close();
    throw error;
  }
  const configLimitMs = Math.min(
    options.keyWithdrawalLimitMs,
    options.zoneOutOfServiceLimitMs ?? DEFAULT_ZONE_OUT_OF_SERVICE_LIMIT_MS,
  );
  const followWaitMs = Math.round(
    configLimitMs / FOLLOWED_CONFIG_CHECKS_PER_LIMIT,
  );
  const configFeed = createSharedConfig({
    instance,
    store: options.configuration,
    peers: () => link.livePeers(),
    knownVersion: () => config.routes()?.table.version ?? 0,
    fetchFromPeer: (address, haveVersion, waitMs) =>
      peerClient.fetchConfig(address, haveVersion, waitMs),
    maxAgeMs: MAX_FOLLOWED_AGE_SHARE * configLimitMs,
    waitMs: followWaitMs,
    clock,
    logger,
  });
  const zones = createZoneView({
    fleet,
    rewriteTimeMs: REWRITE_TIME_MS,
    onChanged: () => config.wakePeers(),
    clock,
    logger,
  });
  const config: ConfigView = createConfigView({
    feed: configFeed,
    zones,
    waitMs: Math.round(configLimitMs / CONFIG_CHECKS_PER_LIMIT),
    minIntervalMs: () => (configFeed.isReadingOrigin ? 0 : followWaitMs / 2),
    clock,
    logger,
    fetchFromPeer: haveVersion => peers.fetchConfig(haveVersion),
    fetchFromAllPeers: haveVersion => peers.fetchAllConfigs(haveVersion),
  });
  const reporter = createFleetReporter({
    instance,
    fleet,
    link,
    clock,
    streamOrigins: () => continuations.origins,
    onUsage: (peer, update) => fairShares.applyPeerUpdate(peer, update),
    onEvidence(item) {
      coldWatch.recordEvidence(item);
      sharedQuarantine.recordFromPeer(item);
    },
  });
  const fairShares: FairShares = startFairShares({
    instance,
    settings: options.fairShares ?? {
      isEnabled: false,
      outputTokenWeight: DEFAULT_OUTPUT_TOKEN_WEIGHT,
    },
    hasOrganisations: () => config.routes()?.table.keyHolders !== undefined,
    fleet,
    link,
    group: () => assignGroup(instance, registeredNames),
    registeredGateways: () => registeredGateways,
    sendGroupUsage: peerClient.sendGroupUsage,
    clock,
    logger,
  });
  const gateways = createGatewayCount();
  const coldWatch = createColdWatch({fleet, clock, logger, metrics});
  const cacheRecovery = createCacheRecovery({
    instance,
    fleet,
    reader: options.promptCacheReader,
    livePeers: () => link.livePeers(),
    peerClient,
    clock,
    logger,
  });
  let groupPeers: readonly RegisteredGateway[] | undefined;
  let registeredGateways: readonly RegisteredGateway[] = [];
  let registeredNames: readonly string[] = [instance];
  const registry = startPeerRegistry({
    instance,
    address: peerAddress,
    table,
    clock,
    logger,
    onFleetId(id) {
      fleetId = id;
      link.joinFleet(id);
    },
    onGateways(registered) {
      const names = registered.map(gateway => gateway.instance);
      registeredNames = names;
      registeredGateways = registered;
      const group = assignGroup(instance, names);
      const ownGroup = selectGroup(registered, peer => peer.instance, group);
      gateways.observe(registered.length, ownGroup.length);
      fleet.setGroup(group);
      const ownNames = new Set(ownGroup.map(peer => peer.instance));
      link.setAddresses(
        ownGroup.map(peer => peer.address),
        registered
          .filter(peer => !ownNames.has(peer.instance))
          .map(peer => peer.address),
      );
      groupPeers = ownGroup.filter(peer => peer.instance !== instance);
    },
  });
  const peerAdjustedTimeMs = createPeerAdjustedTime(slewedTimeMs, () =>
    link.livePeers().map(({clockOffsetMs}) => clockOffsetMs),
  );
  const recentValues: RecentValueContext = {
    table,
    restores: storeRestores,
    isWriter: () => chooseStoreReader(instance, link.livePeers()) === undefined,
    isFirstStart: options.isFirstStart ?? false,
    fleetTimeMs: peerAdjustedTimeMs,
    clock,
    logger,
  };
  const servedVersions = createServedVersionStore({
    ...recentValues,
    listedUpstreams: () => fleet.membership.all(),
    listAgeMs: () => upstreams.ageMs(),
    maxListAgeMs: options.drainLimitMs,
    async readRegistered() {
      const {entries} = await options.upstreams.readAll();
      return entries.flatMap(({value}) => value ?? []);
    },
  });
  const servedTargets = createServedTargetStore({
    ...recentValues,
    async readRouteTable() {
      const {entries} = await options.configuration.readAll();
      for (const {value} of entries) {
        if (value?.kind === 'routeTable') return value.table;
      }
      return undefined;
    },
  });
  config.subscribe(table => servedTargets.applyTable(table));
  const continuations = createStreamContinuations({
    instance,
    registeredGateways: () => registeredGateways,
    fetchStreamVersion: peerClient.fetchStreamVersion,
    servedVersions,
    servedTargets,
    clock,
    logger,
  });
  const sharedQuarantine: SharedQuarantine = startSharedQuarantine({
    instance,
    table,
    fleetTimeMs: peerAdjustedTimeMs,
    livePeers: () => link.livePeers(),
    registeredNames: () => registeredNames,
    hasUnheardGateways: () =>
      1 + link.livePeers().length < registeredNames.length,
    reporter,
    logger,
    metrics,
  });
  const usage =
    options.usageReceiver &&
    startUsageDuties({
      instance,
      table,
      usageReceiver: options.usageReceiver,
      clock,
      peerAdjustedTimeMs,
      windowMs: options.usageWindowMs,
      dueMs: options.usageDueMs,
      leaseMs: options.leaseMs,
      restores: storeRestores,
      peers: () => link.livePeers(),
      isStopping: () => isStopping,
      relay: relayed => peers.relayUsage(relayed),
      writerAddress() {
        const writer = chooseStoreReader(instance, link.livePeers());
        return writer && formatAddress(writer.address);
      },
      relayTo: (address, relayed) => peerClient.relayUsage(address, relayed),
      logger,
    });
  const scaling =
    options.upstreamScaler &&
    startScalingDuties({
      upstreamScaler: options.upstreamScaler,
      services: () => config.routes()?.table.services ?? [],
      fleet,
      fleetToGroupRatio: () => gateways.inFleet / gateways.inGroup,
      fencingToken: () => usage?.fencingToken(),
      clock,
      logger,
    });
  let deployment: DeploymentLimits = options;
  const maxKeyAgeMs = () => deployment.keyWithdrawalLimitMs - KEY_AGE_MARGIN_MS;
  const shutdown = new AbortController();
  // Each open call listens to it.
  setMaxListeners(0, shutdown.signal);
  const processMemory = createProcessMemory(options.memoryLimitMb, clock);
  const {memoryBudget, bodyAdmission, bufferCollector} = processMemory;
  const context: GatewayContext = {
    clock,
    headerCodec: options.headerCodec,
    fleet,
    connections: createConnectionPool(clock, () =>
      metrics.increment('sardinestile_upstream_connections_total', {}),
    ),
    memoryBudget,
    bodyAdmission,
    bufferCollector,
    heapBudget: createHeapBudget({
      heapLimitBytes: getHeapStatistics().heap_size_limit,
      maxDescriptors: options.maxDescriptors,
    }),
    retryBudgets: createRetryBudgets({
      retryRatio: () => deployment.retryRatio,
      windowMs: () => deployment.retryWindowMs,
      extraRetries: () => deployment.retryAllowance / gateways.inFleet,
    }),
    responseTimes: createResponseTimes(),
    returns: createReturnSchedule(),
    countUsage: organisation =>
      usage?.source.record(organisation, {promptTokens: 0, outputTokens: 0}),
    reporter,
    quarantine: sharedQuarantine.quarantine,
    coldWatch,
    fairShares,
    get crashWatch() {
      return crashWatch;
    },
    continuations,
    fleetTimeMs: peerAdjustedTimeMs,
    gateways,
    configAgeMs: () => config.ageMs(),
    hasPausedSince: atMs => pauseDetector.wasPausedSince(atMs),
    upstreamsAgeMs: () => upstreams.ageMs(),
    peers: () => link.livePeers(),
    duty: {
      isHeldBySome: () => usage?.isDutyHeld() ?? false,
      fencingToken: () => usage?.fencingToken(),
    },
    maxKeyAgeMs,
    logger,
    metrics,
    isRefusingRequests: () => listener.isRefusingRequests,
    shutdownSignal: shutdown.signal,
    routes: () => config.routes(),
  };
  const memoryWatch = createMemoryWatch(context.memoryBudget, logger, metrics);
  const crashWatch: CrashWatch = createCrashWatch(context);
  const sharedUpstreams = createSharedUpstreams({
    instance,
    store: options.upstreams,
    membership: fleet.membership,
    peers: () => link.livePeers(),
    fetchFromPeer: (address, since, waitMs) =>
      peerClient.fetchUpstreamChanges(address, since, waitMs),
    drainLimitMs: options.drainLimitMs,
    clock,
    logger,
  });
  const upstreams = createUpstreamView({
    shared: sharedUpstreams,
    drainLimitMs: options.drainLimitMs,
    fleet,
    clock,
    logger,
    onChanged() {
      servedVersions.update();
      context.connections.retain(
        new Set(fleet.membership.all().map(({address}) => address)),
      );
    },
  });
  const peerServer = createPeerServer({
    ...peerAddress,
    boundary,
    fleetId: () => fleetId,
    getConfirmedConfig: (haveVersion, waitMs) =>
      config.getConfirmedConfig(haveVersion, waitMs),
    getUpstreamChanges: (since, waitMs) =>
      sharedUpstreams.getUpstreamChanges(since, waitMs),
    getStreamVersion: requestId =>
      continuations.origins.originOf(requestId, clock.monotonicMs()),
    getCachedParts: () => cacheRecovery.getCachedParts(),
    applyGroupUsage: usageOfGroup => fairShares.applyGroupUsage(usageOfGroup),
    applyCachedParts: cached => cacheRecovery.applyCachedParts(cached),
    async storeUsage(relayed) {
      if (!usage) throw new Error('this gateway reports no usage');
      await usage.storeForPeer(relayed);
    },
  });
  const pauseDetector = createPauseDetector({
    clock,
    checkIntervalMs: HOUSEKEEPING_INTERVAL_MS,
    toleranceMs: PROCESS_PAUSE_TOLERANCE_MS,
    onPause(pauseMs) {
      logger.warn('process_stood_still', {gapMs: Math.round(pauseMs)});
      config.invalidate();
      upstreams.reread();
      sharedQuarantine.reread();
    },
  });
  storeRestores.subscribe(generation => {
    logger.warn('store_restored', {generation});
    config.recordRestore();
    config.askAllPeers();
    fleet.membership.recordRestore(clock.monotonicMs());
    registry.recordRestore();
    usage?.recordRestore();
    sharedQuarantine.reread();
  });
  let hasAskedPeers = false;
  const recoverCaches = () => {
    const table = config.routes()?.table;
    if (!table || !groupPeers || !upstreams.isLoaded) return;
    const engines = table.services
      .filter(({engine}) => engine)
      .flatMap(({name}) => fleet.upstreamsOf(name));
    void cacheRecovery.recover(engines, groupPeers);
  };
  const housekeeping = setInterval(() => {
    recoverCaches();
    if (!hasAskedPeers && link.livePeers().length > 0) {
      hasAskedPeers = true;
      // The store may have been restored just before this process started.
      config.askAllPeers();
    }
    pauseDetector.check();
    processMemory.refresh();
    memoryWatch.check();
    servedVersions.update();
    servedTargets.update();
    sharedQuarantine.quarantine.evaluate();
    config.askPeersIfStale();
    upstreams.removeExpired();
    if (upstreams.isLoaded) zones.reportUnknownZones();
    coldWatch.update(upstreams.ageMs());
    fleet.prune(clock.monotonicMs());
  }, HOUSEKEEPING_INTERVAL_MS);

  const listener = createCallerListener({
    ...options.callerAddress,
    maxHeaderBytes: MAX_HEADER_BYTES,
    handler: (request, response) => serveCall(context, request, response),
    boundary,
    heapBudget: context.heapBudget,
    logger,
    metrics,
    onConnectionEnded: (end, sinceStopMs) =>
      recordConnectionEnd(context, end, sinceStopMs),
    onUnanswerable({headers}, sinceStopMs) {
      const {requestId} = options.headerCodec.readRequest(headers);
      logger.warn('call_unanswerable', {requestId, sinceStopMs});
    },
  });
  config.subscribe(({limits}) => listener.applyLimits(limits));

  let isServing = false;
  const isReady = () =>
    isServing &&
    !isStopping &&
    config.routes() !== undefined &&
    upstreams.isLoaded &&
    config.ageMs() <= maxKeyAgeMs();
  const textServers = createTextServers({
    readinessAddress: options.readinessAddress,
    metricsAddress: options.metricsAddress,
    boundary,
    isReady,
    renderMetrics() {
      refreshGauges(context);
      return metrics.render();
    },
  });
  const closing = new AbortController();
  const close = async () => {
    if (closing.signal.aborted) return;
    closing.abort();
    isStopping = true;
    clearInterval(housekeeping);
    sharedQuarantine.stop();
    fairShares.stop();
    listener.close();
    scaling?.stop();
    await Promise.all([
      usage?.stop(),
      peerServer.close(),
      ...textServers.map(server => server.close(TEXT_DRAIN_LIMIT_MS)),
    ]);
    registry.stop();
    link.close();
    await peerClient.close();
    config.stop();
    upstreams.stop();
    sharedUpstreams.close();
    context.connections.close();
    logger.info('process_stopped', {instance, ...listener.totals()});
  };
  try {
    await peerServer.open(addresses);
    // Opened last, since serving requests needs all other parts.
    await listener.open(addresses);
    openInBackground(textServers, logger, closing.signal);
  } catch (error) {
    void registry.deregister();
    await Promise.race([close(), sleep(LAST_WRITE_TIMEOUT_MS)]);
    throw error;
  }
  isServing = true;
  logger.info('process_started', {
    role: 'gateway',
    instance,
    address: formatAddress(options.callerAddress),
    opsAddress: options.metricsAddress
      ? formatAddress(options.metricsAddress)
      : '',
    startMs: Math.round(performance.now()),
    addressWaits: addresses.waits || undefined,
  });
  return {
    reload(limits) {
      deployment = limits;
      config.reread();
      upstreams.reread();
    },
    async stop(signalledAtMs = performance.now()) {
      isStopping = true;
      const {openRequests} = listener;
      const signalDelayMs = performance.now() - signalledAtMs;
      logger.info('process_stopping', {
        instance,
        openRequests,
        signalDelayMs: Math.round(signalDelayMs),
      });
      void usage?.flush();
      void registry.deregister();
      await listener.drain(options.stopGraceMs - STOP_MARGIN_MS, signalledAtMs);
      shutdown.abort();
      await listener.finish(LAST_ANSWERS_TIMEOUT_MS);
      await Promise.race([close(), sleep(LAST_WRITE_TIMEOUT_MS)]);
    },
    close,
  };
}

function formatAddress({host, port}: {host: string; port: number}): string {
  return `${host}:${port}`;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
