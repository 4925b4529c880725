import {createHash, randomUUID} from 'node:crypto';
import {
  createOpenaiEngineAdapter,
  createPlainServiceAdapter,
} from '@sardinestile/adapters';
import {startAgent, type Agent} from '@sardinestile/agent';
import {createPlatformClients} from '@sardinestile/clients';
import {startEntry} from '@sardinestile/entry';
import type {Logger} from '@sardinestile/logger';
import type {Instance} from '@sardinestile/ports';
import {createConfigReplica, diffText} from '@sardinestile/replica';
import {parseServiceText, type Service} from '@sardinestile/service_text';
import {
  startEngineStandIn,
  startPlainStandIn,
  startPlatformStandIn,
} from '@sardinestile/stand_ins';
import {createConfigStore, type NewConfigChange} from '@sardinestile/store';

const HOST = '127.0.0.1';

/** Number of upstreams that are started for each service. */
const UPSTREAMS_PER_SERVICE = 2;

/** Options for startDevSystem. */
export interface DevSystemOptions {
  /** The service text (YAML). */
  text: string;
  /** Port for callers. */
  port: number;
  /** Port for health checks, metrics, state dumps and the administration API. */
  opsPort: number;
  adminKey: string;
  /** Secret of the API key that the first organisation receives. */
  secret: string;
  /**
   * Time for which the start waits for the ports that are not available, in milliseconds;
   * it does not wait if absent.
   */
  addressWaitLimitMs?: number;
  /** Ends the start, which rejects with its reason. */
  startSignal?: AbortSignal;
  logger: Logger;
}

/** A running development system. */
export interface DevSystem {
  /** Port for callers. */
  port: number;
  opsPort: number;
  /** Names of the models that can be requested. */
  models: string[];
  /** Lets open requests finish, then stops all parts. */
  stop(): Promise<void>;
}

interface RunningUpstream {
  instance: Instance;
  agent: Agent;
  stop(): Promise<void>;
}

/**
 * Starts a simulated platform, simulated upstreams with their agents, and an
 * entry in this process. All run in the first availability zone of the text.
 */
export async function startDevSystem(
  options: DevSystemOptions,
): Promise<DevSystem> {
  const serviceText = parseServiceText(options.text).unwrap();
  const zone = serviceText.availabilityZones[0].name;
  const platform = await startPlatformStandIn({host: HOST, port: 0});
  const baseUrl = `http://${HOST}:${platform.port}`;
  const clients = createPlatformClients({baseUrl});
  const organisation = serviceText.organisations[0].name;
  await storeInitialConfig(clients, options, organisation);

  const upstreams: RunningUpstream[] = [];
  for (const service of serviceText.services) {
    for (let index = 0; index < UPSTREAMS_PER_SERVICE; index++) {
      upstreams.push(await startUpstream(options, service, zone, index));
    }
  }
  upstreams.forEach(({instance}) =>
    platform.state.instances.set(instance.id, instance),
  );
  const entry = await startEntry({
    instance: 'entry-0',
    availabilityZone: zone,
    host: HOST,
    port: options.port,
    peerPort: 0,
    opsPort: options.opsPort,
    adminKey: options.adminKey,
    subsetSize: UPSTREAMS_PER_SERVICE,
    maxBodyBytes: 4_000_000,
    keyFreshnessLimitMs: 10_000,
    leaveDelayMs: 0,
    platform: clients,
    addressWaitLimitMs: options.addressWaitLimitMs,
    startSignal: options.startSignal,
    logger: options.logger,
  });
  return {
    port: entry.port,
    opsPort: entry.opsPort,
    models: serviceText.services.flatMap(service => service.models),
    stop: async () => {
      await entry.stop();
      await Promise.all(upstreams.map(upstream => upstream.stop()));
      await clients.close();
      platform.close();
    },
  };
}

async function storeInitialConfig(
  clients: ReturnType<typeof createPlatformClients>,
  options: DevSystemOptions,
  organisation: string,
): Promise<void> {
  const store = createConfigStore({
    table: clients.table,
    objects: clients.objectStore,
    replica: createConfigReplica(),
    nowMs: Date.now,
  });
  const secretHash = createHash('sha256').update(options.secret).digest('hex');
  const key = {keyId: randomUUID(), organisation, secretHash};
  const changes: NewConfigChange[] = [
    {kind: 'textEdited', ...diffText('', options.text)},
    {kind: 'keyGranted', key},
  ];
  for (const [version, change] of changes.entries()) {
    await store.append(change, version);
  }
}

async function startUpstream(
  options: DevSystemOptions,
  service: Service,
  availabilityZone: string,
  index: number,
): Promise<RunningUpstream> {
  const standIn =
    service.kind === 'engine'
      ? await startEngineStandIn({host: HOST, port: 0, models: service.models})
      : await startPlainStandIn({host: HOST, port: 0});
  const baseUrl = `http://${HOST}:${standIn.port}`;
  const upstream =
    service.kind === 'engine'
      ? createOpenaiEngineAdapter({baseUrl})
      : createPlainServiceAdapter({baseUrl});
  const id = `${service.name}-${index}`;
  const agent = await startAgent({
    instance: id,
    availabilityZone,
    host: HOST,
    port: 0,
    opsPort: 0,
    adminKey: options.adminKey,
    service: service.name,
    upstream,
    logger: options.logger,
  });
  const instance: Instance = {
    id,
    role: 'agent',
    address: `${HOST}:${agent.port}`,
    availabilityZone,
    service: service.name,
    isLeaving: false,
  };
  return {
    instance,
    agent,
    stop: async () => {
      await agent.stop();
      await standIn.close();
    },
  };
}
