import {createServer, type Server} from 'node:http';
import {
  createFreshness,
  createGapDetector,
  createTrueTime,
  readClocks,
} from '@sardinestile/freshness';
import {createFleet, type UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import {openLedgerLink, type LedgerLink} from '@sardinestile/ledger';
import type {
  CallDialect,
  FeedPage,
  RecordFeed,
  TableService,
  UsageReceiver,
} from '@sardinestile/ports';
import {
  createRouteIndex,
  type RouteIndex,
  type RouteTable,
} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import {startCallerListener} from './caller_listener.js';
import {createConnectionPool} from './connection_pool.js';
import {followFeed} from './follow_feed.js';
import type {GatewayContext} from './gateway_context.js';
import {createRepeatBudgets} from './repeat_budgets.js';
import {serveCall} from './serve_call.js';
import {createFleetReporter} from './fleet_reporter.js';
import {startPeerRegistry} from './peer_registry.js';
import {startUsageDuties} from './usage_duties.js';

/** Longest wait for news of the configuration, in milliseconds. */
const CONFIG_WAIT_MS = 1_000;

/** Longest wait for news of the upstreams, in milliseconds. */
const UPSTREAM_WAIT_MS = 2_000;

/** Interval of the housekeeping, in milliseconds. */
const TICK_MS = 100;

/** Delay of the housekeeping that counts as having stood still, in milliseconds. */
const STANDSTILL_MS = 1_500;

/** Margin before the limit on the age of keys, in milliseconds. */
const KEY_AGE_MARGIN_MS = 400;

/** Gateways that may share the allowance of second sends. */
const ASSUMED_GATEWAYS = 8;

/** Time before the end of the grace period at which the last connections are closed, in milliseconds. */
const STOP_MARGIN_MS = 500;

/** Time for the last writes of a stopping gateway, in milliseconds. */
const LAST_WRITE_MS = 300;

/** Largest header block that is read, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** A host and a port. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** What a gateway is made of. */
export interface GatewayOptions {
  instance: string;
  callerAddress: ListenAddress;
  readinessAddress: ListenAddress | undefined;
  metricsAddress: ListenAddress | undefined;
  dialect: CallDialect;
  configuration: RecordFeed<RouteTable>;
  upstreams: RecordFeed<UpstreamRecord>;
  /** Time after its withdrawal from which a key must not work. */
  keyWithdrawalLimitMs: number;
  retryRatio: number;
  retryWindowMs: number;
  retryAllowance: number;
  /** Address at which the other gateways reach this one by datagram. */
  peerAddress: ListenAddress;
  /** Rows of the system itself. */
  table: TableService;
  usageReceiver: UsageReceiver | undefined;
  usageWindowMs: number;
  /** Time for which a duty is held without renewal. */
  leaseMs: number;
  /** Time after which a stopping process is killed. */
  stopGraceMs: number;
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
}

/** A running gateway. */
export interface Gateway {
  /** Stops without cutting a request. */
  stop(): Promise<void>;
  /** Closes every connection at once. */
  close(): Promise<void>;
  /** Reads again what the gateway believes. */
  reload(): void;
}

/** Starts a gateway; resolves when it listens. */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const {clock, logger, metrics, instance} = options;
  let routes: RouteIndex | undefined;
  let isStopping = false;
  let hasUpstreams = false;
  const configFreshness = createFreshness();
  const fleet = createFleet({
    traitsOf: name =>
      routes?.table.services.find(service => service.name === name)?.engine,
  });
  const link: LedgerLink = await openLedgerLink({
    instance,
    address: options.peerAddress,
    clock,
    logger,
    observer: {
      onNews: (peer, news) => reporter.applyNews(peer, news),
      onPeerGone: peer => fleet.forgetPlacer(peer, clock.monotonicMs()),
    },
  });
  const reporter = createFleetReporter({instance, fleet, link, clock});
  const registry = startPeerRegistry({
    instance,
    address: options.peerAddress,
    table: options.table,
    logger,
    onAddresses: addresses => link.setAddresses(addresses),
  });
  const trueTimeMs = createTrueTime(clock, () =>
    link.livePeers().map(({wallAheadMs}) => wallAheadMs),
  );
  const usage = options.usageReceiver
    ? startUsageDuties({
        instance,
        table: options.table,
        receiver: options.usageReceiver,
        clock,
        trueTimeMs,
        windowMs: options.usageWindowMs,
        leaseMs: options.leaseMs,
        logger,
      })
    : undefined;
  const context: GatewayContext = {
    clock,
    dialect: options.dialect,
    fleet,
    connections: createConnectionPool(address =>
      metrics.increment('sardinestile_upstream_connections_total', {address}),
    ),
    budgets: createRepeatBudgets({
      ratio: options.retryRatio,
      windowMs: options.retryWindowMs,
      allowance: () => options.retryAllowance / ASSUMED_GATEWAYS,
    }),
    countUsage: organisation =>
      usage?.source.record(organisation, {promptTokens: 0, outputTokens: 0}),
    reporter,
    configFreshness,
    limits: {maxKeyAgeMs: options.keyWithdrawalLimitMs - KEY_AGE_MARGIN_MS},
    logger,
    metrics,
    isClosing: () => listener.isClosing,
    routes: () => routes,
  };
  const listener = await startCallerListener({
    ...options.callerAddress,
    maxHeaderBytes: MAX_HEADER_BYTES,
    handler: (request, response) =>
      serveCall(context, request, response).catch((error: Error) => {
        logger.error('call_failed', {
          reason: error.stack ?? error.message,
        });
        response.destroy();
      }),
  });

  const applyConfiguration = (page: FeedPage<RouteTable>) => {
    for (const {value, findings} of page.entries) {
      if (!value) {
        logger.warn('config_rejected', {reason: findings.join('; ')});
        continue;
      }
      if (routes && value.version <= routes.table.version) continue;
      routes = createRouteIndex(value);
      listener.applyLimits(value.limits);
      logger.info('config_applied', {
        version: value.version,
        source: 'store',
      });
    }
  };
  const applyUpstreams = (page: FeedPage<UpstreamRecord>, isWhole: boolean) => {
    const {membership} = fleet;
    const nowMs = clock.monotonicMs();
    const records = page.entries.flatMap(({value}) => value ?? []);
    if (isWhole) {
      membership.replaceAll(records, nowMs);
      hasUpstreams = true;
    } else {
      for (const {key, value} of page.entries) {
        if (value) membership.put(value);
        else membership.remove(key, nowMs);
      }
    }
    const addresses = membership.all().map(({address}) => address);
    context.connections.retain(new Set(addresses));
  };
  const configFeed = followFeed({
    feed: options.configuration,
    clock,
    waitMs: CONFIG_WAIT_MS,
    observer: {
      onPage: applyConfiguration,
      onProof: sentAt => configFreshness.prove(sentAt),
      onFailure: reason =>
        logger.warn('store_failed', {
          operation: 'follow configuration',
          reason,
        }),
    },
  });
  const upstreamFeed = followFeed({
    feed: options.upstreams,
    clock,
    waitMs: UPSTREAM_WAIT_MS,
    observer: {
      onPage: applyUpstreams,
      onProof: () => undefined,
      onFailure(reason) {
        fleet.membership.noteStoreFailure(clock.monotonicMs());
        logger.warn('store_failed', {operation: 'follow upstreams', reason});
      },
    },
  });
  const gaps = createGapDetector({
    clock,
    intervalMs: TICK_MS,
    toleranceMs: STANDSTILL_MS,
  });
  const tick = setInterval(() => {
    const gapMs = gaps.check();
    if (gapMs > 0) {
      logger.warn('process_stood_still', {gapMs: Math.round(gapMs)});
      configFreshness.invalidate();
      configFeed.restart();
      upstreamFeed.restart();
    }
    fleet.membership.expire(clock.monotonicMs());
    fleet.prune(clock.monotonicMs());
  }, TICK_MS);

  const isReady = () => {
    if (isStopping || !routes || !hasUpstreams) return false;
    const ageMs = configFreshness.ageMs(readClocks(clock));
    return ageMs <= context.limits.maxKeyAgeMs;
  };
  const sideServers: Server[] = [];
  if (options.readinessAddress) {
    sideServers.push(
      await serveText(options.readinessAddress, () => ({
        status: isReady() ? 200 : 503,
        text: isReady() ? 'ready\n' : 'not ready\n',
      })),
    );
  }
  if (options.metricsAddress) {
    sideServers.push(
      await serveText(options.metricsAddress, () => ({
        status: 200,
        text: metrics.render(),
      })),
    );
  }
  const close = async () => {
    isStopping = true;
    clearInterval(tick);
    listener.close();
    await usage?.stop();
    registry.stop();
    link.close();
    configFeed.stop();
    upstreamFeed.stop();
    context.connections.close();
    sideServers.forEach(server => server.close());
    logger.info('process_stopped', {instance});
  };
  logger.info('process_started', {
    role: 'gateway',
    instance,
    address: `${options.callerAddress.host}:${options.callerAddress.port}`,
    opsAddress: options.metricsAddress
      ? `${options.metricsAddress.host}:${options.metricsAddress.port}`
      : '',
  });
  return {
    reload() {
      configFeed.restart();
      upstreamFeed.restart();
    },
    async stop() {
      isStopping = true;
      logger.info('process_stopping', {
        instance,
        openRequests: listener.openRequests,
      });
      void usage?.flush();
      void registry.leave();
      await listener.drain(options.stopGraceMs - STOP_MARGIN_MS);
      await Promise.race([close(), pause(LAST_WRITE_MS)]);
    },
    close,
  };
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function serveText(
  {host, port}: ListenAddress,
  render: () => {status: number; text: string},
): Promise<Server> {
  const server = createServer((_request, response) => {
    const {status, text} = render();
    response.writeHead(status, {
      'Content-Type': 'text/plain; charset=utf-8',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => resolve(server));
  });
}
