import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {readResidentMemory, startLargeCallers} from '@sardinestile/soak';
import {expect} from 'earl';
import {request} from 'undici';
import {
  callChat,
  DEPLOYMENTS,
  readState,
  relaxTargets,
  startTestCluster,
  waitUntil,
  type TestCluster,
  type TestProcess,
} from '../src/index.js';

const {model, organisation, zones, ...deployment} = DEPLOYMENTS[1];
const TEXT_FILE = new URL(
  `../../../examples/${deployment.name}.yaml`,
  import.meta.url,
);

/** Heap of every process, as deployments set it for gateways. */
const SMALL_HEAP = {NODE_OPTIONS: '--max-old-space-size=90'};

const MEMORY_LIMIT_MB = 250;

/** Size of bodies, close to the default limit, in bytes. */
const BODY_BYTES = 3_900_000;

/** Time for which callers send, in milliseconds. */
const LOAD_MS = 5_000;

const TIMEOUT_MS = 30_000;

const LOADS = [
  {
    name: 'calls of a plain service',
    path: deployment.bookingPath,
    createBody: undefined,
  },
  {
    name: 'chats',
    path: '/v1/chat/completions',
    createBody: (bytes: number) =>
      Buffer.from(
        JSON.stringify({
          model,
          max_tokens: 2,
          messages: [{role: 'user', content: 'c'.repeat(bytes)}],
        }),
      ),
  },
];

/** End of the path of calls that get a large answer. */
const LARGE_PATH = '/large';
const LARGE_ANSWER = Buffer.alloc(48_000_000, 'a');

/** Calls with large answers at once. */
const LARGE_CALLS = 6;

/** Starts a service that reads bodies without keeping them. */
async function startPlainService(): Promise<Server> {
  const server = createServer((call, response) => {
    call.resume();
    call.on('end', () =>
      response.end(call.url?.endsWith(LARGE_PATH) ? LARGE_ANSWER : 'done'),
    );
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

describe(`an entry process that may use ${MEMORY_LIMIT_MB} MB`, () => {
  let cluster: TestCluster;
  let plainService: Server;
  let entry: TestProcess;
  let secret: string;
  let exits: string[];

  beforeEach(async () => {
    plainService = await startPlainService();
    cluster = await startTestCluster({
      text: relaxTargets(await readFile(TEXT_FILE, 'utf8')),
      organisations: [organisation],
      model,
      environment: {
        ...SMALL_HEAP,
        SARDINESTILE_MEMORY_MB: String(MEMORY_LIMIT_MB),
      },
    });
    secret = cluster.secrets.get(organisation)!;
    const services = [
      {
        service: deployment.plainService,
        kind: 'plain',
        upstreamPort: (plainService.address() as AddressInfo).port,
      },
      {
        service: deployment.engineService,
        kind: 'engine',
        upstreamPort: cluster.engines[0].port,
      },
    ] as const;
    for (const service of services) {
      await cluster.startAgent({
        id: service.kind,
        zone: zones[0],
        ...service,
      });
    }
    const member = await cluster.startEntry('entry-0', zones[0]);
    entry = member.process;
    const ownExits: string[] = (exits = []);
    for (const {instance, process} of cluster.members) {
      void process.exited.then(code =>
        ownExits.push(`${instance.id}: ${code}`),
      );
    }
    await waitUntil(async () => {
      const {sessions} = await readState(entry.opsAddress);
      return (
        sessions.filter(({isOpen, load}) => isOpen && load).length >=
        services.length
      );
    });
  });
  afterEach(async () => {
    await cluster.stop();
    plainService.close();
  });

  for (const {name, path, createBody} of LOADS) {
    it(`stays within it while 100 callers send ${name} with bodies of almost 4 MB at full speed`, async () => {
      const callers = startLargeCallers(entry.address, path, {
        bodyBytes: [BODY_BYTES],
        createBody,
        callers: 100,
        headers: [{Authorization: `Bearer ${secret}`}],
      });
      await sleep(LOAD_MS);
      await callers.stop();
      const memory = readResidentMemory(entry.pid);
      expect(exits).toEqual([]);
      expect(memory!.peakMb).toBeLessThanOrEqual(MEMORY_LIMIT_MB);
      // Whoever is refused reads the refusal, which says when to retry.
      expect(callers.outcomes.get(503) ?? 0).toBeGreaterThan(0);
      expect(callers.outcomes.get(0) ?? 0).toEqual(0);
      const isShort = (failure: string) => failure.includes(' got 503 ');
      expect(callers.failures.filter(isShort)).toEqual([]);
      await waitUntil(
        async () =>
          (
            await callChat({
              address: entry.address,
              secret,
              model,
              content: 'small',
              maxTokens: 2,
            })
          ).isComplete,
        TIMEOUT_MS,
      );
    });
  }

  it(`stays within it while ${LARGE_CALLS} calls with an idempotency key get answers of 48 MB`, async () => {
    const call = async (_: unknown, number: number) => {
      const {statusCode, body} = await request(
        `http://${entry.address}${deployment.bookingPath}${LARGE_PATH}`,
        {
          method: 'POST',
          body: 'small',
          headers: {
            authorization: `Bearer ${secret}`,
            'idempotency-key': `large-${number}`,
          },
        },
      );
      let bytes = 0;
      for await (const chunk of body) bytes += (chunk as Buffer).length;
      return {statusCode, bytes};
    };
    const answers = await Promise.all(Array.from({length: LARGE_CALLS}, call));
    expect(exits).toEqual([]);
    expect(readResidentMemory(entry.pid)!.peakMb).toBeLessThanOrEqual(
      MEMORY_LIMIT_MB,
    );
    const whole = {statusCode: 200, bytes: LARGE_ANSWER.length};
    expect(answers).toEqual(answers.map(() => whole));
  });
});
