import {number, oneOf, option, optional, string, type Type} from 'cmd-ts';

/** Time for which an entry trusts its keys after the store or a peer confirmed them. */
const DEFAULT_KEY_FRESHNESS_LIMIT_MS = 10_000;

/** On shutdown, time between reporting not ready and closing the listener. */
const DEFAULT_LEAVE_DELAY_MS = 2_000;

const DEFAULT_MAX_BODY_BYTES = 4_000_000;

/** Number of agents of each service that an entry connects to. */
const DEFAULT_SUBSET_SIZE = 16;

const MAX_PORT = 65_535;

const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'silent'] as const;

const portType: Type<string, number> = {
  ...number,
  description: 'a port; 0 selects a free port',
  async from(text) {
    const value = await number.from(text);
    if (Number.isInteger(value) && value >= 0 && value <= MAX_PORT) {
      return value;
    }
    throw new Error(`must be an integer from 0 to ${MAX_PORT}`);
  },
};

const positiveInteger: Type<string, number> = {
  ...number,
  async from(text) {
    const value = await number.from(text);
    if (Number.isInteger(value) && value > 0) return value;
    throw new Error('must be a positive integer');
  },
};

const httpUrl: Type<string, string> = {
  ...string,
  displayName: 'url',
  async from(text) {
    if (/^https?:\/\/[^/]+$/.test(text)) return text;
    throw new Error(
      'must be an origin without a path, such as http://127.0.0.1:8900',
    );
  },
};

const nonEmptyString: Type<string, string> = {
  ...string,
  async from(text) {
    if (text) return text;
    throw new Error('must not be empty');
  },
};

function stringSetting(long: string, env: string, description: string) {
  return option({type: nonEmptyString, long, env, description});
}

function portSetting(long: string, env: string, description: string) {
  const defaultValue = () => 0;
  return option({type: portType, long, env, description, defaultValue});
}

function optionalIntegerSetting(
  long: string,
  env: string,
  description: string,
) {
  return option({type: optional(positiveInteger), long, env, description});
}

function integerSetting(
  long: string,
  env: string,
  description: string,
  defaultInteger: number,
) {
  const defaultValue = () => defaultInteger;
  const defaultValueIsSerializable = true;
  return option({
    type: positiveInteger,
    long,
    env,
    description,
    defaultValue,
    defaultValueIsSerializable,
  });
}

/** Administration key of a daemon, also used by commands that call a daemon. */
export const adminKeySetting = stringSetting(
  'admin-key',
  'SARDINESTILE_ADMIN_KEY',
  'key for the administration API and state dumps',
);

/** Minimum level of the log lines that a daemon writes. */
export const logLevelSetting = option({
  type: oneOf(LOG_LEVELS),
  long: 'log-level',
  env: 'SARDINESTILE_LOG_LEVEL',
  description: `one of ${LOG_LEVELS.join(', ')}`,
  defaultValue: () => 'info' as const,
  defaultValueIsSerializable: true,
});

/** Settings that entries and agents share. */
export const processSettings = {
  instance: stringSetting(
    'instance',
    'SARDINESTILE_INSTANCE',
    'unique name of this instance',
  ),
  availabilityZone: stringSetting(
    'availability-zone',
    'SARDINESTILE_AVAILABILITY_ZONE',
    'availability zone of this instance',
  ),
  host: option({
    type: nonEmptyString,
    long: 'host',
    env: 'SARDINESTILE_HOST',
    description: 'address to listen on',
    defaultValue: () => '127.0.0.1',
    defaultValueIsSerializable: true,
  }),
  opsPort: portSetting(
    'ops-port',
    'SARDINESTILE_OPS_PORT',
    'port for health checks, metrics, state dumps and the administration API',
  ),
  adminKey: adminKeySetting,
  logLevel: logLevelSetting,
};

/** Arguments of `sardinestile entry`. */
export const entrySettings = {
  ...processSettings,
  port: portSetting('port', 'SARDINESTILE_PORT', 'port for callers'),
  peerPort: portSetting(
    'peer-port',
    'SARDINESTILE_PEER_PORT',
    'port on which other entries pull the configuration',
  ),
  platformUrl: option({
    type: httpUrl,
    long: 'platform-url',
    env: 'SARDINESTILE_PLATFORM_URL',
    description: 'base URL of the platform services',
  }),
  subsetSize: integerSetting(
    'subset-size',
    'SARDINESTILE_SUBSET_SIZE',
    'number of agents of each service to connect to',
    DEFAULT_SUBSET_SIZE,
  ),
  maxBodyBytes: integerSetting(
    'max-body-bytes',
    'SARDINESTILE_MAX_BODY_BYTES',
    'largest request body, in bytes',
    DEFAULT_MAX_BODY_BYTES,
  ),
  memoryMb: optionalIntegerSetting(
    'memory-mb',
    'SARDINESTILE_MEMORY_MB',
    'memory that the process may use, in MB; that of its container or machine by default',
  ),
  keyFreshnessLimitMs: integerSetting(
    'key-freshness-limit-ms',
    'SARDINESTILE_KEY_FRESHNESS_LIMIT_MS',
    'time after which keys that neither store nor peers confirm are refused',
    DEFAULT_KEY_FRESHNESS_LIMIT_MS,
  ),
  leaveDelayMs: integerSetting(
    'leave-delay-ms',
    'SARDINESTILE_LEAVE_DELAY_MS',
    'on shutdown, time between reporting not ready and closing the listener',
    DEFAULT_LEAVE_DELAY_MS,
  ),
};

/** Arguments of `sardinestile agent`. */
export const agentSettings = {
  ...processSettings,
  port: portSetting(
    'port',
    'SARDINESTILE_PORT',
    'port of the session protocol, for entries',
  ),
  service: stringSetting(
    'service',
    'SARDINESTILE_SERVICE',
    'service of the upstream',
  ),
  upstreamKind: option({
    type: oneOf(['engine', 'plain'] as const),
    long: 'upstream-kind',
    env: 'SARDINESTILE_UPSTREAM_KIND',
    description: 'engine or plain',
  }),
  upstreamUrl: option({
    type: httpUrl,
    long: 'upstream-url',
    env: 'SARDINESTILE_UPSTREAM_URL',
    description: 'base URL of the upstream',
  }),
};

/** Arguments of the commands that call the administration API. */
export const adminClientSettings = {
  adminUrl: option({
    type: httpUrl,
    long: 'admin-url',
    env: 'SARDINESTILE_ADMIN_URL',
    description: "base URL of an entry's ops server",
  }),
  adminKey: adminKeySetting,
};

/** `adminClientSettings` for commands that call the administration API only on request. */
export const optionalAdminClientSettings = {
  adminUrl: option({
    type: optional(httpUrl),
    long: 'admin-url',
    env: 'SARDINESTILE_ADMIN_URL',
    description: "base URL of an entry's ops server",
  }),
  adminKey: option({
    type: optional(nonEmptyString),
    long: 'admin-key',
    env: 'SARDINESTILE_ADMIN_KEY',
    description: 'key for the administration API',
  }),
};
