// A route is split between two services, whose engines run different software. Gateway
// processes are killed in turn. Clients take up the streams that break off.
import {
  createConfiguration,
  newId,
  parseEvents,
  runCase,
  send,
  sleep,
  startDeployment,
} from '../harness-3.mjs';

const RUN_MS = 45_000;
const CLIENTS = 12;
const FIRST_KILL_MS = 5000;
const KILL_GAP_MS = 8000;

function configure() {
  const configuration = createConfiguration();
  const [stream] = configuration.routes;
  const [pool] = configuration.services;
  delete stream.service;
  stream.traffic_split = [
    {service: 'pool-blue', weight: 1},
    {service: 'pool-green', weight: 1},
  ];
  configuration.services.push(
    {...pool, name: 'pool-blue'},
    {...pool, name: 'pool-green'},
  );
  return configuration;
}

await runCase(import.meta.url, async context => {
  const {record, isTrouble} = context;
  const {gateways} = await startDeployment(context, {
    gateways: 3,
    configuration: configure(),
    engines: [
      {id: 'i-blue-1', service: 'pool-blue', version: 'v1'},
      {id: 'i-blue-2', service: 'pool-blue', version: 'v1'},
      {id: 'i-green-1', service: 'pool-green', version: 'v2'},
      {id: 'i-green-2', service: 'pool-green', version: 'v2'},
    ],
  });
  await sleep(3000);
  const endMs = performance.now() + RUN_MS;
  const findings = [];
  const counts = {served: 0, takenUp: 0};

  /** Reads one stream; takes it up once, at another gateway, if it breaks off. */
  const readStream = async client => {
    const events = [];
    const answers = [];
    const deadlineMs = performance.now() + 5000;
    for (let attempt = 0; attempt < 2; attempt++) {
      const gateway = gateways[(client + attempt) % gateways.length];
      const requestId = newId();
      const last = events.at(-1)?.id;
      const leftMs = Math.round(deadlineMs - performance.now());
      if (leftMs < 100) return;
      const answer = await send({
        host: gateway.host,
        port: gateway.front,
        method: 'POST',
        path: '/stream/a',
        headers: {
          host: 'app.example',
          'request-id': requestId,
          'deadline-ms': leftMs,
          authorization: 'Bearer key-one',
          model: 'm',
          'token-counts': '628,160',
          'prompt-prefix': `${newId()}:628`,
          ...(last === undefined ? {} : {'last-event-id': last}),
        },
        body: 'prompt',
        timeoutMs: leftMs + 500,
      }).catch(error => ({status: 0, text: '', error: error.message}));
      const got = answer.status === 200 ? parseEvents(answer.text) : [];
      const versions = [...new Set(got.map(({data}) => data.split(' ')[0]))];
      record(
        `client ${client} got ${requestId} from ${gateway.name}` +
          (last === undefined ? '' : `, asked to go on after event ${last}`) +
          `: ${answer.status}, ${got.length} events of ` +
          `${versions.join('+') || 'none'}, ` +
          (answer.isComplete ? 'complete' : `not complete (${answer.error})`),
      );
      events.push(...got);
      answers.push(requestId);
      if (answer.status === 200 && answer.isComplete) {
        counts.served++;
        if (last !== undefined) counts.takenUp++;
        const joined = [...new Set(events.map(({data}) => data.split(' ')[0]))];
        if (joined.length > 1) {
          findings.push(
            `ORDER: a text is complete and joined of ${joined.join(' and ')}, ` +
              `in answers ${answers.join(', ')}`,
          );
        }
        return;
      }
      await sleep(1000 * Number(answer.headers?.['retry-after'] ?? 0.02));
    }
  };
  const runClient = async client => {
    await sleep(100 * client);
    while (performance.now() < endMs) {
      await readStream(client);
      await sleep(50);
    }
  };
  const killInTurn = async () => {
    await sleep(FIRST_KILL_MS);
    for (let i = 0; performance.now() < endMs - 4000; i++) {
      const gateway = gateways[i % gateways.length];
      record(`${gateway.name} is killed`);
      gateway.signal('SIGKILL');
      await sleep(KILL_GAP_MS);
    }
  };
  const tasks = Array.from({length: CLIENTS}, (_, i) => runClient(i));
  if (isTrouble) tasks.push(killInTurn());
  await Promise.all(tasks);
  record(JSON.stringify(counts));
  if (counts.served < 50) throw new Error('hardly anything was served');
  return findings;
});
