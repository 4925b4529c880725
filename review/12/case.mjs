// Newer software is released beside the running one, service by service, while the platform's
// store turns one gateway away. The first engine of the new version crashes soon after its
// start. Clients take up the streams that it had begun, at other gateways, and name the request
// that began them.
import {
  createConfiguration,
  newId,
  parseEvents,
  runCase,
  send,
  sleep,
  startDeployment,
} from '../harness-3.mjs';

const SERVICES = ['pool-a', 'pool-b', 'pool-c', 'pool-d', 'pool-e'];
/** Events of a stream, one each 30 ms. */
const EVENTS = 40;
/** Time from the start of the gateways to the first release. */
const STEADY_MS = 63_000;
const RELEASE_GAP_MS = 7_000;
/** Time for which the store turns a gateway away, and until the release begins. */
const AWAY_MS = 6_000;
const RELEASE_AFTER_MS = 1_000;
/** Time from the registration of the new engine to its crash. */
const LIFE_MS = 1500;
/** Clients of a service that read streams around its release. */
const CLIENTS_PER_SERVICE = 36;

function configure() {
  const configuration = createConfiguration();
  const [stream] = configuration.routes;
  const [pool] = configuration.services;
  configuration.routes = SERVICES.map(name => ({
    ...stream,
    name: `digest-${name}`,
    prefix: `/stream/${name}/`,
    service: name,
  }));
  configuration.services = SERVICES.map(name => ({...pool, name}));
  return configuration;
}

await runCase(import.meta.url, async context => {
  const {record, isTrouble} = context;
  const {store, gateways, addEngine, engines} = await startDeployment(context, {
    gateways: 3,
    configuration: configure(),
    engines: SERVICES.flatMap(service =>
      [1, 2, 3].map(n => ({id: `i-${service}-${n}`, service, version: 'v1'})),
    ),
  });
  const startedAtMs = performance.now();
  for (const engine of engines) engine.eventsOf = () => EVENTS;
  const findings = [];
  let served = 0;

  /** Reads one stream; takes it up once, at another gateway, if it breaks off. */
  const readStream = async (client, service) => {
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
        path: `/stream/${service}/a`,
        headers: {
          host: 'app.example',
          'request-id': requestId,
          'deadline-ms': leftMs,
          authorization: 'Bearer key-one',
          model: 'm',
          'token-counts': '628,160',
          'prompt-prefix': `${newId()}:628`,
          ...(last === undefined
            ? {}
            : {'last-event-id': last, resumes: answers[0]}),
        },
        body: 'prompt',
        timeoutMs: leftMs + 500,
      }).catch(error => ({status: 0, text: '', error: error.message}));
      const got = answer.status === 200 ? parseEvents(answer.text) : [];
      const versions = [...new Set(got.map(({data}) => data.split(' ')[0]))];
      if (last !== undefined || !answer.isComplete || versions.length !== 1) {
        record(
          `client ${client} got ${requestId} of ${service} from ` +
            `${gateway.name}` +
            (last === undefined ? '' : `, asked to go on after event ${last}`) +
            `: ${answer.status}, ${got.length} events of ` +
            `${versions.join('+') || 'none'}, ` +
            (answer.isComplete ? 'complete' : `not complete (${answer.error})`),
        );
      }
      events.push(...got);
      answers.push(requestId);
      if (answer.status === 200 && answer.isComplete) {
        served++;
        const joined = [...new Set(events.map(({data}) => data.split(' ')[0]))];
        if (joined.length > 1) {
          findings.push(
            `ORDER: a text of ${service} is complete and joined of ` +
              `${joined.join(' and ')}, in answers ${answers.join(', ')}`,
          );
        }
        return;
      }
      await sleep(1000 * Number(answer.headers?.['retry-after'] ?? 0.02));
    }
  };
  const runClient = async (client, service, untilMs) => {
    await sleep(25 * client);
    while (performance.now() < untilMs) {
      await readStream(client, service);
      await sleep(20);
    }
  };
  await sleep(startedAtMs + STEADY_MS - performance.now());
  for (const [i, service] of SERVICES.entries()) {
    const untilMs = performance.now() + RELEASE_GAP_MS - 2000;
    const clients = Array.from({length: CLIENTS_PER_SERVICE}, (_, i) =>
      runClient(i, service, untilMs),
    );
    const away = gateways[i % gateways.length].name;
    if (isTrouble) {
      record(`the store turns ${away} away`);
      store.access = caller => (caller === away ? 'busy' : undefined);
      setTimeout(() => (store.access = () => undefined), AWAY_MS);
      await sleep(RELEASE_AFTER_MS);
      const id = `i-${service}-4`;
      const engine = await addEngine({id, service, version: 'v2'});
      engine.eventsOf = () => EVENTS;
      record(`engine ${id} of ${service} starts as v2`);
      await sleep(LIFE_MS);
      await engine.crash();
      record(`engine ${id} crashes`);
    }
    await Promise.all(clients);
  }
  record(`${served} streams were served whole`);
  if (served < 50) throw new Error(`only ${served} streams were served`);
  // The rule is broken by more than two streams.
  return findings.length > 2 ? findings : [];
});
