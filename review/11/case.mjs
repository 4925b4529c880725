// A route is split between three services, whose engines run different software. Gateway
// processes are killed in turn. Clients take up the streams that break off, at gateways that
// run undisturbed, and name the request that began them.
import {
  createConfiguration,
  newId,
  parseEvents,
  runCase,
  send,
  sleep,
  startDeployment,
} from '../harness-3.mjs';

const SERVICES = ['pool-a', 'pool-b', 'pool-c'];
const RUN_MS = 60_000;
const CLIENTS = 24;
const FIRST_KILL_MS = 5000;
const KILL_GAP_MS = 8000;
/** Time without disruption after which a machine is in touch. */
const CONTACT_MS = 3000;
/** Streams that are taken up from which on the rule counts. */
const MIN_TAKEN_UP = 12;

function configure() {
  const configuration = createConfiguration();
  const [stream] = configuration.routes;
  const [pool] = configuration.services;
  delete stream.service;
  stream.traffic_split = SERVICES.map(service => ({service, weight: 1}));
  configuration.services.push(...SERVICES.map(name => ({...pool, name})));
  return configuration;
}

await runCase(import.meta.url, async context => {
  const {record, isTrouble} = context;
  const {gateways} = await startDeployment(context, {
    gateways: 3,
    configuration: configure(),
    engines: SERVICES.flatMap((service, i) =>
      [1, 2].map(n => ({
        id: `i-${service}-${n}`,
        service,
        version: `v${i + 1}`,
      })),
    ),
  });
  await sleep(CONTACT_MS);
  const endMs = performance.now() + RUN_MS;
  const killedAtMs = new Map(gateways.map(gateway => [gateway, -Infinity]));
  const isInTouch = gateway =>
    performance.now() - killedAtMs.get(gateway) > CONTACT_MS;
  /** Streams by whether they are new, and whether events of them came. */
  const counts = {new: 0, newServed: 0, takenUp: 0, goneOn: 0, joined: 0};

  const ask = async (gateway, leftMs, headers) => {
    const answer = await send({
      host: gateway.host,
      port: gateway.front,
      method: 'POST',
      path: '/stream/a',
      headers: {
        host: 'app.example',
        'request-id': newId(),
        'deadline-ms': leftMs,
        authorization: 'Bearer key-one',
        model: 'm',
        'token-counts': '628,160',
        'prompt-prefix': `${newId()}:628`,
        ...headers,
      },
      body: 'prompt',
      timeoutMs: leftMs + 500,
    }).catch(error => ({status: 0, text: '', error: error.message}));
    const events = answer.status === 200 ? parseEvents(answer.text) : [];
    const versions = [...new Set(events.map(({data}) => data.split(' ')[0]))];
    return {...answer, events, versions};
  };
  /** Reads one stream; takes it up once, at another gateway, if it breaks off. */
  const readStream = async client => {
    const deadlineMs = performance.now() + 5000;
    const first = gateways[client % gateways.length];
    const isFirstInTouch = isInTouch(first);
    const requestId = newId();
    const begun = await ask(first, 5000, {'request-id': requestId});
    if (isFirstInTouch && isInTouch(first)) {
      counts.new++;
      if (begun.events.length > 0) counts.newServed++;
    }
    if (begun.isComplete || begun.events.length === 0) return;
    await sleep(20);
    const second = gateways[(client + 1) % gateways.length];
    if (!isInTouch(second)) return;
    const last = begun.events.at(-1).id;
    const leftMs = Math.round(deadlineMs - performance.now());
    const takenUp = await ask(second, leftMs, {
      'last-event-id': last,
      resumes: requestId,
    });
    if (!isInTouch(second)) return;
    counts.takenUp++;
    const isGoneOn = takenUp.status === 200 && takenUp.events.length > 0;
    if (isGoneOn) counts.goneOn++;
    const joined = new Set([...begun.versions, ...takenUp.versions]);
    if (joined.size > 1) counts.joined++;
    record(
      `client ${client}: ${requestId} broke off at ${first.name} after event ` +
        `${last} of ${begun.versions.join('+')}; taken up at ${second.name}: ` +
        `${takenUp.status}, ${takenUp.events.length} events of ` +
        `${takenUp.versions.join('+') || 'none'}` +
        (takenUp.status === 200 ? '' : `, ${takenUp.text.trim()}`),
    );
  };
  const runClient = async client => {
    await sleep(60 * client);
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
      killedAtMs.set(gateway, performance.now());
      gateway.signal('SIGKILL');
      await sleep(KILL_GAP_MS);
    }
  };
  const tasks = Array.from({length: CLIENTS}, (_, i) => runClient(i));
  if (isTrouble) tasks.push(killInTurn());
  await Promise.all(tasks);
  record(JSON.stringify(counts));
  if (counts.newServed < 100) throw new Error('hardly anything was served');
  if (counts.takenUp < MIN_TAKEN_UP) {
    if (isTrouble) throw new Error(`only ${counts.takenUp} were taken up`);
    return [];
  }
  const goneOnShare = counts.goneOn / counts.takenUp;
  const newShare = counts.newServed / counts.new;
  return goneOnShare < newShare / 2
    ? [
        `LOST: of ${counts.takenUp} streams that were taken up ${counts.goneOn} ` +
          `went on; of ${counts.new} new ones ${counts.newServed} began`,
      ]
    : [];
});
