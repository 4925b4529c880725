import {readFileSync} from 'node:fs';
import {
  createConfigurationFeed,
  createDutyCalls,
  createStoreClient,
  createTableService,
  createUpstreamFeed,
  createUpstreamStarter,
  createUsageReceiver,
  parseSettings,
  platformDialect,
  SETTINGS_PATH_VARIABLE,
} from '@sardinestile/adapter_platform';
import {SardinestileError} from '@sardinestile/errors';
import {startGateway} from '@sardinestile/gateway';
import {followSettings} from './follow_settings.js';
import {
  createBoundedLogger,
  logLevelSchema,
  type LogLevel,
} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {createSystemClock} from '@sardinestile/types';

/** Environment variable with the least level of lines that are written. */
const LOG_LEVEL_VARIABLE = 'SARDINESTILE_LOG_LEVEL';

/** Decisions about each request are logged at this level. */
const DEFAULT_LOG_LEVEL = 'info';

/** Where the system keeps its own rows. */
const SYSTEM_TABLE = 'sardinestile';
const SYSTEM_PARTITION = 'system';

/** Port of the metrics, after the first port for peers. */
const METRICS_PORT_OFFSET = 1;

/** Path of the settings file. */
function settingsPath(): string {
  const path = process.env[SETTINGS_PATH_VARIABLE];
  if (path !== undefined) return path;
  throw new SardinestileError({
    code: 'SETTINGS_INVALID',
    message: `${SETTINGS_PATH_VARIABLE} is not set`,
    hint: 'Set it to the path of the settings file.',
  });
}

/** Least level of lines that are written. */
function readLogLevel(): LogLevel {
  const result = logLevelSchema.safeParse(
    process.env[LOG_LEVEL_VARIABLE] ?? DEFAULT_LOG_LEVEL,
  );
  if (result.success) return result.data;
  throw new SardinestileError({
    code: 'SETTINGS_INVALID',
    message: `${LOG_LEVEL_VARIABLE} is "${process.env[LOG_LEVEL_VARIABLE]}"`,
    hint: `Set it to one of ${logLevelSchema.options.join(', ')}.`,
  });
}

/** Puts a gateway on the platform together, and runs it until a signal. */
export async function runPlatformGateway(): Promise<void> {
  const path = settingsPath();
  const settings = parseSettings(readFileSync(path, 'utf8'), path);
  const logger = createBoundedLogger({level: readLogLevel()});
  const {callerAddress} = settings;
  if (!callerAddress) {
    throw new SardinestileError({
      code: 'SETTINGS_INVALID',
      message: 'the settings name no address for callers',
      hint: 'Run the gateway in a role that serves callers.',
    });
  }
  const metrics = createMetricsRegistry();
  const store = createStoreClient(
    settings.store.address,
    (operation, outcome, durationMs) => {
      metrics.increment('sardinestile_store_calls_total', {operation, outcome});
      // Waits for changes last as long as they were asked to.
      metrics.recordMs(
        'sardinestile_store_call_seconds',
        {operation},
        durationMs,
      );
    },
  );
  const calls = settings.dutyApi && createDutyCalls(settings.dutyApi.address);
  const gateway = await startGateway({
    ...settings,
    callerAddress,
    readinessAddress: settings.readinessAddress,
    metricsAddress: {
      host: settings.host,
      port: settings.peerPort + METRICS_PORT_OFFSET,
    },
    peerAddress: {host: settings.host, port: settings.peerPort},
    table: createTableService({
      store,
      table: SYSTEM_TABLE,
      partition: SYSTEM_PARTITION,
    }),
    usageReceiver:
      calls && settings.dutyApi?.hasUsage
        ? createUsageReceiver({
            calls,
            instance: settings.instance,
            windowMs: settings.usageWindowMs,
          })
        : undefined,
    upstreamStarter:
      calls && settings.dutyApi?.hasScaling
        ? createUpstreamStarter({calls, instance: settings.instance})
        : undefined,
    dialect: platformDialect,
    configuration: createConfigurationFeed(store),
    upstreams: createUpstreamFeed(store),
    clock: createSystemClock(),
    logger,
    metrics,
  });
  const followed = followSettings({
    path,
    logger,
    onChanged(changed) {
      store.redirect(changed.store.address);
      gateway.reload(changed);
    },
  });
  process.on('SIGHUP', () => followed.look());
  await new Promise<void>(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  followed.stop();
  await gateway.stop();
  await calls?.close();
  await store.close();
}
