import {readFile} from 'node:fs/promises';
import {request} from 'undici';
import {ADMIN_KEY, startTestCluster, type TestCluster} from './test_cluster.js';
import {waitUntil} from './wait_until.js';

/** Example configurations, with the names from them that the tests use. */
export const DEPLOYMENTS = [
  {
    name: 'drws_cymru',
    model: 'drws-summary',
    organisation: 'ysbyty-gwynedd',
    zones: ['cymru-a', 'cymru-b', 'cymru-c'],
    engineService: 'summaries',
    plainService: 'callouts',
    bookingPath: '/callouts',
  },
  {
    name: 'paletta_viva',
    model: 'paletta-assessment',
    organisation: 'porto-marghera',
    zones: ['milano-uno', 'verona-due', 'brescia-tre'],
    engineService: 'assessment',
    plainService: 'depot',
    bookingPath: '/stock/debits',
  },
] as const;

/** One of the example configurations. */
export type Deployment = (typeof DEPLOYMENTS)[number];

/** Options for startDeployment. */
export interface StartDeploymentOptions {
  /** Environment variables added to those of each process. */
  environment?: NodeJS.ProcessEnv;
  /** Port of the plain service behind its agent; that of the stand-in by default. */
  plainServicePort?: number;
}

/** Starts two entries and three agents, and waits until every session is open. */
export async function startDeployment(
  deployment: Deployment,
  {environment, plainServicePort}: StartDeploymentOptions = {},
): Promise<TestCluster> {
  const {zones, engineService, plainService} = deployment;
  const textFile = new URL(
    `../../../examples/${deployment.name}.yaml`,
    import.meta.url,
  );
  const cluster = await startTestCluster({
    text: relaxTargets(await readFile(textFile, 'utf8')),
    organisations: [deployment.organisation],
    model: deployment.model,
    environment,
  });
  const {engines, plainServices} = cluster;
  await Promise.all([
    ...engines.map((engine, index) =>
      cluster.startAgent({
        id: `engine-agent-${index}`,
        zone: zones[index],
        service: engineService,
        kind: 'engine',
        upstreamPort: engine.port,
      }),
    ),
    cluster.startAgent({
      id: 'plain-agent-0',
      zone: zones[2],
      service: plainService,
      kind: 'plain',
      upstreamPort: plainServicePort ?? plainServices[0].port,
    }),
  ]);
  await Promise.all([
    cluster.startEntry('entry-0', zones[0]),
    cluster.startEntry('entry-1', zones[1]),
  ]);
  await waitUntil(() => areAllSessionsOpen(cluster));
  return cluster;
}

/** Raises the latency targets, so that a busy machine meets them. The tests measure no latency. */
export function relaxTargets(text: string): string {
  return text
    .replace(/firstTokenMs: \d+/g, 'firstTokenMs: 60000')
    .replace(/answerMs: \d+/g, 'answerMs: 600000');
}

/** Returns the entries of a cluster. */
export function entriesOf(cluster: TestCluster) {
  return cluster.members.filter(m => m.instance.role === 'entry');
}

async function areAllSessionsOpen(cluster: TestCluster): Promise<boolean> {
  const agents = cluster.members.filter(m => m.instance.role === 'agent');
  const states = await Promise.all(
    entriesOf(cluster).map(({process}) => readState(process.opsAddress)),
  );
  return states.every(
    ({sessions}) =>
      sessions.filter(session => session.isOpen && session.load).length >=
      agents.length,
  );
}

/** Fields of a state dump that the tests use. */
export interface ProcessState {
  configVersion: number;
  sessions: Array<{isOpen: boolean; load?: object}>;
}

/** Fetches the state dump of a process. */
export async function readState(opsAddress: string) {
  const response = await request(`http://${opsAddress}/state`, {
    headers: {authorization: `Bearer ${ADMIN_KEY}`},
  });
  return (await response.body.json()) as ProcessState;
}
