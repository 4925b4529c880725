import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {createOpenaiEngineAdapter} from '@sardinestile/adapters';
import {startAgent} from '@sardinestile/agent';
import {createLogger} from '@sardinestile/logger';
import {startEngineStandIn} from '@sardinestile/stand_ins';

const HOST = '127.0.0.1';

/**
 * What a host process runs: engine stand-ins, agents, or nothing (`empty`), to
 * measure the memory of a bare Node.js process.
 */
export type HostRole =
  | {kind: 'engines'; count: number; model: string; stepMs: number}
  | {kind: 'agents'; service: string; zone: string; upstreamPorts: number[]}
  | {kind: 'empty'};

/** A child process that runs several engine stand-ins or agents. */
export interface HostProcess {
  pid: number;
  ports: number[];
  stop(): void;
}

/** Starts a host process and resolves when all its listeners are open. */
export function startHostProcess(role: HostRole): Promise<HostProcess> {
  const mainPath = fileURLToPath(new URL('./host_main.js', import.meta.url));
  const child = spawn(process.execPath, [mainPath, JSON.stringify(role)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  return new Promise((resolve, reject) => {
    child.once('exit', code => reject(new Error(`exited with ${code}`)));
    createInterface({input: child.stdout}).once('line', line =>
      resolve({
        pid: child.pid!,
        ports: JSON.parse(line) as number[],
        stop: () => child.kill('SIGKILL'),
      }),
    );
  });
}

/** Starts the stand-ins or agents of a role in this process; returns their ports. */
export async function startRole(role: HostRole): Promise<number[]> {
  switch (role.kind) {
    case 'engines':
      return Promise.all(
        Array.from({length: role.count}, () => startEngine(role)),
      );
    case 'agents':
      return Promise.all(
        role.upstreamPorts.map((port, index) =>
          startHostedAgent(role.service, role.zone, port, index),
        ),
      );
    case 'empty':
      setInterval(() => {}, 60_000);
      return [];
  }
}

async function startEngine(
  role: Extract<HostRole, {kind: 'engines'}>,
): Promise<number> {
  const engine = await startEngineStandIn({
    host: HOST,
    port: 0,
    models: [role.model],
    model: {
      maxBatch: 512,
      stepBaseMs: role.stepMs,
      stepPerSequenceMs: 0,
      prefillMsPerToken: 0,
      prefillChunkTokens: 100_000,
    },
  });
  return engine.port;
}

async function startHostedAgent(
  service: string,
  availabilityZone: string,
  upstreamPort: number,
  index: number,
): Promise<number> {
  const agent = await startAgent({
    instance: `bench-agent-${upstreamPort}-${index}`,
    availabilityZone,
    host: HOST,
    port: 0,
    opsPort: 0,
    adminKey: 'bench',
    service,
    upstream: createOpenaiEngineAdapter({
      baseUrl: `http://${HOST}:${upstreamPort}`,
    }),
    logger: createLogger({level: 'silent'}),
  });
  return agent.port;
}
