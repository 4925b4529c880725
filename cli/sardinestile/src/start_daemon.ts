import {
  createOpenaiEngineAdapter,
  createPlainServiceAdapter,
  type UpstreamAdapter,
} from '@sardinestile/adapters';
import {startAgent} from '@sardinestile/agent';
import {createPlatformClients} from '@sardinestile/clients';
import {startEntry} from '@sardinestile/entry';
import type {Logger} from '@sardinestile/logger';
import type {StoppableProcess} from './process_signals.js';
import {readProcessLimits} from './read_process_limits.js';

/** Kinds of upstream. */
export type UpstreamKind = 'engine' | 'plain';

const UPSTREAM_FACTORIES: Readonly<
  Record<UpstreamKind, (baseUrl: string) => UpstreamAdapter>
> = {
  engine: baseUrl => createOpenaiEngineAdapter({baseUrl}),
  plain: baseUrl => createPlainServiceAdapter({baseUrl}),
};

/** Settings that entries and agents share. */
interface ProcessSettings {
  instance: string;
  availabilityZone: string;
  host: string;
  port: number;
  opsPort: number;
  adminKey: string;
}

/** Settings of an entry; described in `entrySettings`. */
export interface EntrySettings extends ProcessSettings {
  peerPort: number;
  platformUrl: string;
  subsetSize: number;
  maxBodyBytes: number;
  memoryMb?: number;
  keyFreshnessLimitMs: number;
  leaveDelayMs: number;
}

/** Settings of an agent; described in `agentSettings`. */
export interface AgentSettings extends ProcessSettings {
  service: string;
  upstreamKind: UpstreamKind;
  upstreamUrl: string;
}

/**
 * Time for which the start of a daemon waits for its addresses, in milliseconds. A closed
 * connection occupies its address for 60 s on Linux.
 */
const ADDRESS_WAIT_LIMIT_MS = 70_000;

const BYTES_PER_MB = 1_048_576;

/** Starts an entry with its clients of the platform services. */
export async function startEntryDaemon(
  {memoryMb, ...settings}: EntrySettings,
  logger: Logger,
  startSignal: AbortSignal,
): Promise<StoppableProcess> {
  const limits = readProcessLimits();
  const platform = createPlatformClients({baseUrl: settings.platformUrl});
  const entry = await startEntry({
    ...settings,
    ...limits,
    memoryLimitBytes: memoryMb && memoryMb * BYTES_PER_MB,
    platform,
    logger,
    startSignal,
    addressWaitLimitMs: ADDRESS_WAIT_LIMIT_MS,
  });
  return {
    stop: async () => {
      await entry.stop();
      await platform.close();
    },
  };
}

/** Starts an agent with the adapter of its upstream. */
export async function startAgentDaemon(
  settings: AgentSettings,
  logger: Logger,
  startSignal: AbortSignal,
): Promise<StoppableProcess> {
  const upstream = UPSTREAM_FACTORIES[settings.upstreamKind](
    settings.upstreamUrl,
  );
  return startAgent({
    ...settings,
    upstream,
    logger,
    startSignal,
    addressWaitLimitMs: ADDRESS_WAIT_LIMIT_MS,
  });
}
