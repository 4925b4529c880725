import {
  checkOwnAddresses,
  createConfigurationFeed,
  createDutyCalls,
  createPromptCacheReader,
  createStoreClient,
  createTableService,
  createUpstreamFeed,
  createUpstreamScaler,
  createUsageReceiver,
  platformHeaderCodec,
  SETTINGS_PATH_VARIABLE,
} from '@sardinestile/adapter_platform';
import {SardinestileError} from '@sardinestile/errors';
import {startGateway} from '@sardinestile/gateway';
import {createRateLimitedLogger, type Logger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {createSystemClock} from '@sardinestile/types';
import {
  readGatewayEnvironment,
  type GatewayEnvironment,
} from './gateway_environment.js';
import {logOutputErrors} from './log_output_errors.js';
import {logProcessStart} from './process_end.js';
import {watchProcessMemory, type ProcessMemoryWatch} from './process_memory.js';
import type {
  ProcessOutcome,
  ProcessSignals,
  StoppableProcess,
} from './process_signals.js';
import {waitForSettings} from './wait_for_settings.js';
import {watchSettings} from './watch_settings.js';

/** Table and partition of the store that hold the rows of this system. */
const SYSTEM_TABLE = 'sardinestile';
const SYSTEM_PARTITION = 'system';

/** Time for which a start waits for a settings file that can be used, in milliseconds. */
const SETTINGS_WAIT_LIMIT_MS = 10_000;

/**
 * Time for which the operating system may keep an address after the connection that used
 * it was closed, with a margin, in milliseconds.
 */
const CLOSED_CONNECTION_MS = 65_000;

/** Time limit for writing the last lines of the log, in milliseconds. */
const LAST_LINES_TIMEOUT_MS = 100;

/** Returns the path of the settings file from the environment. */
function readSettingsPath(): string {
  const path = process.env[SETTINGS_PATH_VARIABLE];
  if (path !== undefined) return path;
  throw new SardinestileError({
    code: 'SETTINGS_INVALID',
    message: `${SETTINGS_PATH_VARIABLE} is not set`,
    hint: 'Set it to the path of the settings file.',
  });
}

/** Runs a gateway on the hosting platform until a signal or an uncaught error stops it. */
export async function runPlatformGateway(
  signals: ProcessSignals,
): Promise<ProcessOutcome> {
  const path = readSettingsPath();
  const environment = readGatewayEnvironment(process.env);
  const logger = createRateLimitedLogger({level: environment.logLevel});
  logOutputErrors(logger);
  logProcessStart('gateway', logger);
  const memoryWatch = watchProcessMemory({logger});
  try {
    return await signals.run(logger, stopSignal =>
      startPlatformGateway({
        path,
        environment,
        logger,
        memoryWatch,
        stopSignal,
      }),
    );
  } finally {
    memoryWatch.stop();
    await logger.flush(LAST_LINES_TIMEOUT_MS);
  }
}

interface PlatformGatewayOptions {
  /** Path of the settings file. */
  path: string;
  environment: GatewayEnvironment;
  logger: Logger;
  memoryWatch: ProcessMemoryWatch;
  /** Ends a start that still waits for something. */
  stopSignal: AbortSignal;
}

async function startPlatformGateway(
  options: PlatformGatewayOptions,
): Promise<StoppableProcess> {
  const {path, environment, logger, stopSignal} = options;
  const {text, settings} = await waitForSettings({
    path,
    logger,
    limitMs: SETTINGS_WAIT_LIMIT_MS,
    signal: stopSignal,
  });
  options.memoryWatch.setLimitMb(settings.memoryLimitMb);
  // The process would wait for an address that it has itself.
  checkOwnAddresses(settings, path);
  const metrics = createMetricsRegistry({logger});
  const store = createStoreClient(
    settings.store.address,
    (operation, outcome, durationMs) => {
      metrics.increment('sardinestile_store_calls_total', {operation, outcome});
      // Long polls for changes last up to the requested wait time, so the
      // durations of that operation are not latencies of the store.
      metrics.recordMs(
        'sardinestile_store_call_seconds',
        {operation},
        durationMs,
      );
    },
  );
  const dutyCalls =
    settings.dutyApi && createDutyCalls(settings.dutyApi.address);
  const gateway = await startGateway({
    ...settings,
    resourceCosts: environment.resourceCosts,
    fairShares: environment.fairShares,
    readinessAddress: settings.readinessAddress,
    metricsAddress:
      settings.metricsPort === undefined
        ? undefined
        : {host: settings.host, port: settings.metricsPort},
    peerAddress: {host: settings.host, port: settings.peerPort},
    // The process before may hold its addresses until the end of its grace period.
    addressWaitLimitMs: CLOSED_CONNECTION_MS + settings.stopGraceMs,
    startSignal: stopSignal,
    storeRestores: store.restores,
    promptCacheReader: createPromptCacheReader(),
    table: createTableService({
      store,
      table: SYSTEM_TABLE,
      partition: SYSTEM_PARTITION,
    }),
    usageReceiver:
      dutyCalls && settings.dutyApi?.hasUsage
        ? createUsageReceiver({
            calls: dutyCalls,
            instance: settings.instance,
            windowMs: settings.usageWindowMs,
          })
        : undefined,
    upstreamScaler:
      dutyCalls && settings.dutyApi?.hasScaling
        ? createUpstreamScaler({calls: dutyCalls, instance: settings.instance})
        : undefined,
    headerCodec: platformHeaderCodec,
    configuration: createConfigurationFeed(store),
    upstreams: createUpstreamFeed(store),
    clock: createSystemClock(),
    logger,
    metrics,
  });
  let isStopping = false;
  const watcher = watchSettings({
    path,
    initialText: text,
    logger,
    onChanged(newSettings) {
      store.redirect(newSettings.store.address);
      if (!isStopping) gateway.reload(newSettings);
    },
  });
  return {
    stopLimitMs: settings.stopGraceMs,
    reload: () => watcher.checkNow(),
    async stop(signalledAtMs) {
      isStopping = true;
      // The usage of the last requests is written when they have ended.
      watcher.narrowTo('store');
      await gateway.stop(signalledAtMs);
      watcher.stop();
      await dutyCalls?.close();
      await store.close();
    },
  };
}
