import {
  startTestCluster,
  waitUntil,
  type ClusterMember,
  type TestCluster,
} from '@sardinestile/end_to_end';
import {request} from 'undici';
import {startHostProcess, type HostProcess} from './host_process.js';

const HOST = '127.0.0.1';
const ZONE = 'zone-a';

/** Model served by the benchmark's engines. */
export const MODEL = 'bench-model';

const CONFIG_TEXT = `
availabilityZones: [{name: ${ZONE}, region: r}]
services:
  - {name: bench, kind: engine, models: [${MODEL}], maxRunning: 512}
requestClasses:
  - {name: bench-class, service: bench, tier: 0, targets: {}}
organisations: [{name: bench-org}]
`;

/** A running entry with agents and engines in separate processes. */
export interface PathSystem {
  cluster: TestCluster;
  entry: ClusterMember;
  secret: string;
  enginePorts: number[];
  stop(): Promise<void>;
}

/** Options for `startPathSystem`. */
export interface PathSystemOptions {
  engines: number;
  /**
   * Number of engine processes; each has a process with its agents. Must divide
   * `engines`.
   */
  hosts: number;
  /** Duration of an engine step, in milliseconds. */
  stepMs: number;
}

/** Starts the system and waits until every agent has reported its load to the entry. */
export async function startPathSystem(
  options: PathSystemOptions,
): Promise<PathSystem> {
  const cluster = await startTestCluster({
    text: CONFIG_TEXT,
    organisations: ['bench-org'],
    model: MODEL,
    engineCount: 0,
  });
  const hosts: HostProcess[] = [];
  const enginesPerHost = options.engines / options.hosts;
  const enginePorts: number[] = [];
  for (let index = 0; index < options.hosts; index++) {
    const {stepMs} = options;
    const engines = await startHostProcess({
      kind: 'engines',
      count: enginesPerHost,
      model: MODEL,
      stepMs,
    });
    enginePorts.push(...engines.ports);
    const agents = await startHostProcess({
      kind: 'agents',
      service: 'bench',
      zone: ZONE,
      upstreamPorts: engines.ports,
    });
    agents.ports.forEach((port, position) =>
      registerAgent(cluster, index, position, port),
    );
    hosts.push(engines, agents);
  }
  const entry = await cluster.startEntry('bench-entry', ZONE, [
    `--subset-size=${Math.max(1, options.engines)}`,
  ]);
  await waitUntil(() => hasAgentSessions(entry, options.engines));
  return {
    cluster,
    entry,
    secret: cluster.secrets.get('bench-org')!,
    enginePorts,
    stop: async () => {
      await cluster.stop();
      hosts.forEach(host => host.stop());
    },
  };
}

function registerAgent(
  cluster: TestCluster,
  host: number,
  position: number,
  port: number,
): void {
  const id = `agent-${host}-${position}`;
  cluster.platform.state.instances.set(id, {
    id,
    role: 'agent',
    address: `${HOST}:${port}`,
    availabilityZone: ZONE,
    service: 'bench',
    isLeaving: false,
  });
}

async function hasAgentSessions(
  entry: ClusterMember,
  count: number,
): Promise<boolean> {
  const response = await request(`http://${entry.process.opsAddress}/state`, {
    headers: {authorization: 'Bearer test-admin'},
  });
  const {sessions} = (await response.body.json()) as {
    sessions: Array<{load?: object}>;
  };
  return sessions.filter(session => session.load).length === count;
}
