import {assignGroup, createFleet, selectGroup} from '@sardinestile/fleet';
import {
  createGapDetector,
  createSmoothTime,
  createTrueTime,
} from '@sardinestile/freshness';
import {openLedgerLink, type LedgerLink} from '@sardinestile/ledger';
import {createPeerClient, startPeerServer} from '@sardinestile/peer';
import {storeRelayedUsage} from '@sardinestile/usage';
import {startCallerListener} from './caller_listener.js';
import {createConfigView} from './config_view.js';
import {createConnectionPool} from './connection_pool.js';
import {createFleetReporter} from './fleet_reporter.js';
import {createGatewayCount} from './gateway_count.js';
import type {GatewayContext} from './gateway_context.js';
import {refreshGauges} from './gauges.js';
import type {DeploymentLimits, GatewayOptions} from './gateway_options.js';
import {createPeerCalls} from './peer_calls.js';
import {startPeerRegistry} from './peer_registry.js';
import {createRepeatBudgets} from './repeat_budgets.js';
import {startScalingDuties} from './scaling_duties.js';
import {createSharedUpstreams} from './shared_upstreams.js';
import {serveCall} from './serve_call.js';
import {startTextServers} from './text_server.js';
import {createUpstreamView} from './upstream_view.js';
import {createUsualWork} from './usual_work.js';
import {startUsageDuties} from './usage_duties.js';

/** Interval of the housekeeping, in milliseconds. */
const TICK_MS = 100;

/** Delay of the housekeeping that counts as having stood still, in milliseconds. */
const STANDSTILL_MS = 1_500;

/** Margin before the limit on the age of keys, in milliseconds. */
const KEY_AGE_MARGIN_MS = 400;

/** Time before the end of the grace period at which the last connections are closed, in milliseconds. */
const STOP_MARGIN_MS = 500;

/** Time for the last writes of a stopping gateway, in milliseconds. */
const LAST_WRITE_MS = 300;

/** Proofs of the configuration within the time in which a withdrawn key must stop. */
const PROOFS_PER_KEY_LIMIT = 4;

/** Largest header block that is read, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** A running gateway. */
export interface Gateway {
  /** Stops without cutting a request. */
  stop(): Promise<void>;
  /** Closes every connection at once. */
  close(): Promise<void>;
  /** Puts limits of the deployment in force and reads again what the gateway believes. */
  reload(limits: DeploymentLimits): void;
}

/** Starts a gateway; resolves when it listens. */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const {clock, logger, metrics, instance, table, peerAddress} = options;
  let isStopping = false;
  let fleetId: string | undefined;
  const peerClient = createPeerClient(() => fleetId);
  const peers = createPeerCalls(peerClient, () => link);
  const config = createConfigView({
    feed: options.configuration,
    waitMs: options.keyWithdrawalLimitMs / PROOFS_PER_KEY_LIMIT,
    clock,
    logger,
    askPeer: haveVersion => peers.askConfig(haveVersion),
  });
  const fleet = createFleet({
    traitsOf: name => config.routes()?.service(name)?.engine,
    shortestGapMs: name => config.routes()?.shortestGapMs(name) ?? Infinity,
  });
  const smoothTimeMs = createSmoothTime(clock);
  const link: LedgerLink = await openLedgerLink({
    instance,
    address: peerAddress,
    clock,
    smoothTimeMs,
    logger,
    observer: {
      onNews: (peer, news) => reporter.applyNews(peer, news),
      onPeerGone: peer => fleet.forgetPlacer(peer, clock.monotonicMs()),
    },
    status: () => ({isStopping, seesDutyHeld: usage?.isDutyHeld() ?? false}),
  });
  const reporter = createFleetReporter({instance, fleet, link, clock});
  const gateways = createGatewayCount();
  const registry = startPeerRegistry({
    instance,
    address: peerAddress,
    table,
    clock,
    logger,
    onFleet(id) {
      fleetId = id;
      link.joinFleet(id);
    },
    onGateways(registered) {
      const names = registered.map(gateway => gateway.instance);
      const group = assignGroup(instance, names);
      const mine = selectGroup(registered, peer => peer.instance, group);
      gateways.observe(registered.length, mine.length);
      fleet.joinGroup(group);
      link.setAddresses(mine.map(peer => peer.address));
    },
  });
  const trueTimeMs = createTrueTime(smoothTimeMs, () =>
    link.livePeers().map(({wallAheadMs}) => wallAheadMs),
  );
  const usage =
    options.usageReceiver &&
    startUsageDuties({
      instance,
      table,
      receiver: options.usageReceiver,
      clock,
      trueTimeMs,
      windowMs: options.usageWindowMs,
      leaseMs: options.leaseMs,
      peers: () => link.livePeers(),
      isStopping: () => isStopping,
      relay: relayed => peers.relayUsage(relayed),
      logger,
    });
  const scaling =
    options.upstreamStarter &&
    startScalingDuties({
      starter: options.upstreamStarter,
      services: () => config.routes()?.table.services ?? [],
      fleet,
      unheardFactor: () => gateways.inFleet / gateways.inGroup,
      fencingToken: () => usage?.fencingToken(),
      clock,
      logger,
    });
  let deployment: DeploymentLimits = options;
  const maxKeyAgeMs = () => deployment.keyWithdrawalLimitMs - KEY_AGE_MARGIN_MS;
  const context: GatewayContext = {
    clock,
    dialect: options.dialect,
    fleet,
    connections: createConnectionPool(clock, () =>
      metrics.increment('sardinestile_upstream_connections_total', {}),
    ),
    budgets: createRepeatBudgets({
      ratio: () => deployment.retryRatio,
      windowMs: () => deployment.retryWindowMs,
      allowance: () => deployment.retryAllowance / gateways.inFleet,
    }),
    usualWork: createUsualWork(),
    countUsage: organisation =>
      usage?.source.record(organisation, {promptTokens: 0, outputTokens: 0}),
    reporter,
    gateways,
    configAgeMs: () => config.ageMs(),
    stoodStillSince: atMs => gaps.hasGapSince(atMs),
    upstreamsAgeMs: () => upstreams.ageMs(),
    peers: () => link.livePeers(),
    duty: {
      isHeldBySome: () => usage?.isDutyHeld() ?? false,
      fencingToken: () => usage?.fencingToken(),
    },
    maxKeyAgeMs,
    logger,
    metrics,
    isClosing: () => listener.isClosing,
    routes: () => config.routes(),
  };
  const sharedUpstreams = createSharedUpstreams({
    instance,
    store: options.upstreams,
    membership: fleet.membership,
    peers: () => link.livePeers(),
    ask: (address, since, waitMs) =>
      peerClient.askUpstreams(address, since, waitMs),
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
    onChanged: () =>
      context.connections.retain(
        new Set(fleet.membership.all().map(({address}) => address)),
      ),
  });
  const peerServer = await startPeerServer({
    ...peerAddress,
    fleetId: () => fleetId,
    proveConfig: haveVersion => config.prove(haveVersion),
    copyUpstreams: (since, waitMs) => sharedUpstreams.answer(since, waitMs),
    async storeUsage({source, windowId, sums}) {
      await storeRelayedUsage(table, source, windowId, sums);
    },
  });
  const gaps = createGapDetector({
    clock,
    intervalMs: TICK_MS,
    toleranceMs: STANDSTILL_MS,
    onGap(gapMs) {
      logger.warn('process_stood_still', {gapMs: Math.round(gapMs)});
      config.invalidate();
      upstreams.reread();
    },
  });
  const tick = setInterval(() => {
    gaps.check();
    config.askPeersIfStale();
    upstreams.expire();
    fleet.prune(clock.monotonicMs());
  }, TICK_MS);

  // The last part: what it serves needs all of the others.
  const listener = await startCallerListener({
    ...options.callerAddress,
    maxHeaderBytes: MAX_HEADER_BYTES,
    handler: (request, response) =>
      serveCall(context, request, response).catch((error: Error) => {
        logger.error('call_failed', {reason: error.stack ?? error.message});
        response.destroy();
      }),
  });
  config.subscribe(({limits}) => listener.applyLimits(limits));

  const isReady = () =>
    !isStopping && upstreams.isKnown && config.ageMs() <= maxKeyAgeMs();
  const textServers = await startTextServers({
    readinessAddress: options.readinessAddress,
    metricsAddress: options.metricsAddress,
    isReady,
    renderMetrics() {
      refreshGauges(context);
      return metrics.render();
    },
  });
  let isClosed = false;
  const close = async () => {
    if (isClosed) return;
    isClosed = true;
    isStopping = true;
    clearInterval(tick);
    listener.close();
    scaling?.stop();
    await usage?.stop();
    registry.stop();
    link.close();
    peerServer.close();
    await peerClient.close();
    config.stop();
    upstreams.stop();
    sharedUpstreams.close();
    context.connections.close();
    textServers.forEach(server => server.close());
    logger.info('process_stopped', {instance});
  };
  logger.info('process_started', {
    role: 'gateway',
    instance,
    address: formatAddress(options.callerAddress),
    opsAddress: options.metricsAddress
      ? formatAddress(options.metricsAddress)
      : '',
  });
  return {
    reload(limits) {
      deployment = limits;
      config.reread();
      upstreams.reread();
    },
    async stop() {
      isStopping = true;
      const {openRequests} = listener;
      logger.info('process_stopping', {instance, openRequests});
      void usage?.flush();
      void registry.leave();
      await listener.drain(options.stopGraceMs - STOP_MARGIN_MS);
      await Promise.race([close(), pause(LAST_WRITE_MS)]);
    },
    close,
  };
}

function formatAddress({host, port}: {host: string; port: number}): string {
  return `${host}:${port}`;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
