import {readFileSync} from 'node:fs';
import {
  createConfigurationFeed,
  createDutyCalls,
  createPromptCacheReader,
  createStoreClient,
  createTableService,
  createUpstreamFeed,
  createUpstreamScaler,
  createUsageReceiver,
  parseSettings,
  platformHeaderCodec,
  SETTINGS_PATH_VARIABLE,
  type PlatformSettings,
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
import {watchProcessMemory} from './process_memory.js';
import type {
  ProcessOutcome,
  ProcessSignals,
  StoppableProcess,
} from './process_signals.js';
import {watchSettings} from './watch_settings.js';

/** Table and partition of the store that hold the rows of this system. */
const SYSTEM_TABLE = 'sardinestile';
const SYSTEM_PARTITION = 'system';

/** The metrics port is the peer port plus this offset. */
const METRICS_PORT_OFFSET = 1;

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
  const text = readFileSync(path, 'utf8');
  const settings = parseSettings(text, path);
  const environment = readGatewayEnvironment(process.env);
  const logger = createRateLimitedLogger({level: environment.logLevel});
  logOutputErrors(logger);
  logProcessStart('gateway', logger);
  const memoryWatch = watchProcessMemory({logger});
  try {
    return await signals.run(logger, () =>
      startPlatformGateway({path, text, settings, environment, logger}),
    );
  } finally {
    memoryWatch.stop();
    await logger.flush(LAST_LINES_TIMEOUT_MS);
  }
}

interface PlatformGatewayOptions {
  /** Path and content of the settings file. */
  path: string;
  text: string;
  settings: PlatformSettings;
  environment: GatewayEnvironment;
  logger: Logger;
}

async function startPlatformGateway(
  options: PlatformGatewayOptions,
): Promise<StoppableProcess> {
  const {path, text, settings, environment, logger} = options;
  const {callerAddress} = settings;
  if (!callerAddress) {
    throw new SardinestileError({
      code: 'SETTINGS_INVALID',
      message: 'the settings have no address for callers (listen.front)',
      hint: 'Run the gateway in a role that serves callers.',
    });
  }
  const metrics = createMetricsRegistry();
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
    callerAddress,
    readinessAddress: settings.readinessAddress,
    metricsAddress: {
      host: settings.host,
      port: settings.peerPort + METRICS_PORT_OFFSET,
    },
    peerAddress: {host: settings.host, port: settings.peerPort},
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
