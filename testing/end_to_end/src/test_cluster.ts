import {createHash, randomUUID} from 'node:crypto';
import {createPlatformClients} from '@sardinestile/clients';
import type {Instance} from '@sardinestile/ports';
import {createConfigReplica, diffText} from '@sardinestile/replica';
import {
  startEngineStandIn,
  startPlainStandIn,
  startPlatformStandIn,
  type EngineStandIn,
  type PlainStandIn,
  type PlatformStandIn,
} from '@sardinestile/stand_ins';
import {createConfigStore} from '@sardinestile/store';
import {startProcess, type TestProcess} from './child_process.js';

const HOST = '127.0.0.1';

/** Key of the administration API of every test process. */
export const ADMIN_KEY = 'test-admin';

/** A sardinestile process that is registered in the platform's instance list. */
export interface ClusterMember {
  instance: Instance;
  process: TestProcess;
}

/** Entry and agent processes with one configuration, and the stand-ins that they use. */
export interface TestCluster {
  platform: PlatformStandIn;
  engines: EngineStandIn[];
  plainServices: PlainStandIn[];
  members: ClusterMember[];
  /** Secret of the API key of each organisation. */
  secrets: Map<string, string>;
  startEntry(
    id: string,
    zone: string,
    extraArgs?: readonly string[],
  ): Promise<ClusterMember>;
  startAgent(options: StartAgentOptions): Promise<ClusterMember>;
  /** Removes an instance from the instance list, stops it with SIGTERM and waits for its exit. */
  remove(member: ClusterMember): Promise<void>;
  /** Kills every process and closes the stand-ins. */
  stop(): Promise<void>;
}

/** Options for startAgent. */
export interface StartAgentOptions {
  id: string;
  zone: string;
  service: string;
  kind: 'engine' | 'plain';
  upstreamPort: number;
}

/** Options for startTestCluster. */
export interface TestClusterOptions {
  /** Service text of the operators, in YAML. */
  text: string;
  /** Organisations that get an API key each. */
  organisations: readonly string[];
  /** Model that the engines serve. */
  model: string;
  /** Number of engine stand-ins; 2 by default. */
  engineCount?: number;
  /** Environment variables added to those of each process. */
  environment?: NodeJS.ProcessEnv;
}

/** Starts the stand-ins and stores the configuration; starts no entry or agent. */
export async function startTestCluster(
  options: TestClusterOptions,
): Promise<TestCluster> {
  const platform = await startPlatformStandIn({host: HOST, port: 0});
  const platformUrl = `http://${HOST}:${platform.port}`;
  const secrets = new Map(
    options.organisations.map(name => [name, `sk-${randomUUID()}`]),
  );
  await storeInitialConfig(platformUrl, options.text, secrets);
  const models = [options.model];
  const engines = await Promise.all(
    Array.from({length: options.engineCount ?? 2}, () =>
      startEngineStandIn({host: HOST, port: 0, models}),
    ),
  );
  const plainServices = [await startPlainStandIn({host: HOST, port: 0})];
  const members: ClusterMember[] = [];

  const register = (instance: Instance, process: TestProcess) => {
    const member = {instance, process};
    members.push(member);
    platform.state.instances.set(instance.id, instance);
    return member;
  };
  return {
    platform,
    engines,
    plainServices,
    members,
    secrets,
    async startEntry(id, zone, extraArgs = []) {
      const process = await startProcess(
        [
          'entry',
          ...commonArgs(id, zone),
          `--platform-url=${platformUrl}`,
          '--leave-delay-ms=300',
          ...extraArgs,
        ],
        options.environment,
      );
      const address = process.peerAddress;
      const isLeaving = false;
      return register(
        {id, role: 'entry', address, availabilityZone: zone, isLeaving},
        process,
      );
    },
    async startAgent({id, zone, service, kind, upstreamPort}) {
      const process = await startProcess(
        [
          'agent',
          ...commonArgs(id, zone),
          `--service=${service}`,
          `--upstream-kind=${kind}`,
          `--upstream-url=http://${HOST}:${upstreamPort}`,
        ],
        options.environment,
      );
      const instance: Instance = {
        id,
        role: 'agent',
        address: process.address,
        availabilityZone: zone,
        service,
        isLeaving: false,
      };
      return register(instance, process);
    },
    async remove(member) {
      platform.state.instances.delete(member.instance.id);
      member.process.kill('SIGTERM');
      await member.process.exited;
    },
    async stop() {
      members.forEach(member => member.process.kill('SIGKILL'));
      await Promise.all(members.map(member => member.process.exited));
      await Promise.all(engines.map(engine => engine.close()));
      await Promise.all(plainServices.map(service => service.close()));
      platform.close();
    },
  };
}

function commonArgs(id: string, zone: string): string[] {
  return [
    `--instance=${id}`,
    `--availability-zone=${zone}`,
    `--admin-key=${ADMIN_KEY}`,
  ];
}

async function storeInitialConfig(
  platformUrl: string,
  text: string,
  secrets: ReadonlyMap<string, string>,
): Promise<void> {
  const clients = createPlatformClients({baseUrl: platformUrl});
  const store = createConfigStore({
    table: clients.table,
    objects: clients.objectStore,
    replica: createConfigReplica(),
    nowMs: Date.now,
  });
  let version = await store.append(
    {kind: 'textEdited', ...diffText('', text)},
    0,
  );
  for (const [organisation, secret] of secrets) {
    const secretHash = createHash('sha256').update(secret).digest('hex');
    const key = {keyId: `key-${organisation}`, organisation, secretHash};
    version = await store.append({kind: 'keyGranted', key}, version);
  }
  await clients.close();
}
