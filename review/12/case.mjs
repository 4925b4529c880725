// Engines of one service are restarted one after the other under their ids, with newer
// software. Clients read streams of a resumable route meanwhile.
import {
  newId,
  parseEvents,
  runCase,
  send,
  sleep,
  startDeployment,
} from '../harness-3.mjs';

const RUN_MS = 60_000;
const CLIENTS = 6;
/** Time between the restarts of two engines, and for which each is down. */
const GAP_MS = 1000;
const DOWN_MS = 700;
const ROUND_MS = 8000;

await runCase(import.meta.url, async context => {
  const {record, isTrouble} = context;
  const {gateways, engines} = await startDeployment(context, {
    gateways: 2,
    engines: [
      {id: 'i-7f3a91c2', service: 'sardine-pool', version: 'v1'},
      {id: 'i-20bd55e0', service: 'sardine-pool', version: 'v1'},
    ],
  });
  await sleep(3000);
  const endMs = performance.now() + RUN_MS;
  const findings = [];
  let served = 0;

  /** Reads one stream; takes it up once on a new connection if it breaks off. */
  const readStream = async client => {
    const text = {events: [], answers: []};
    const deadlineMs = performance.now() + 5000;
    for (let attempt = 0; attempt < 2; attempt++) {
      const gateway = gateways[(client + attempt) % gateways.length];
      const requestId = newId();
      const last = text.events.at(-1)?.id;
      const leftMs = Math.round(deadlineMs - performance.now());
      if (leftMs < 100) break;
      record(
        `client ${client} sends ${requestId} to ${gateway.name}` +
          (last === undefined ? '' : ` to go on after event ${last}`),
      );
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
      const events = answer.status === 200 ? parseEvents(answer.text) : [];
      const versions = [...new Set(events.map(({data}) => data.split(' ')[0]))];
      record(
        `client ${client} got ${requestId}: ${answer.status}, ` +
          `${events.length} events of ${versions.join('+') || 'none'}, ` +
          (answer.isComplete ? 'complete' : `not complete (${answer.error})`),
      );
      text.answers.push({requestId, versions});
      text.events.push(...events);
      if (answer.status === 200 && answer.isComplete) {
        served++;
        const all = text.events.map(({data}) => data.split(' ')[0]);
        const joined = [...new Set(all)];
        const isOneAnswer = versions.length > 1;
        if (joined.length > 1) {
          findings.push(
            `ORDER: the text of client ${client} is complete and joined of ` +
              `${joined.join(' and ')} in ` +
              (isOneAnswer
                ? `one answer, ${requestId}`
                : `answers ${text.answers.map(a => a.requestId).join(', ')}`),
          );
        }
        return;
      }
      const retryAfterS = Number(answer.headers?.['retry-after'] ?? 0.05);
      await sleep(1000 * retryAfterS);
    }
  };
  const runClient = async client => {
    while (performance.now() < endMs) {
      await readStream(client);
      await sleep(50);
    }
  };
  const upgrade = async () => {
    for (let release = 2; performance.now() < endMs - ROUND_MS; release++) {
      await sleep(ROUND_MS - engines.length * GAP_MS);
      for (const engine of engines) {
        const restart = async () => {
          record(`engine ${engine.id} (${engine.version}) ends`);
          await engine.crash();
          await sleep(DOWN_MS);
          engine.version = `v${release}`;
          await engine.start();
          record(`engine ${engine.id} starts again as ${engine.version}`);
        };
        void restart();
        await sleep(GAP_MS);
      }
    }
  };
  const clients = Array.from({length: CLIENTS}, (_, i) => runClient(i));
  if (isTrouble) clients.push(upgrade());
  await Promise.all(clients);
  record(`${served} streams were served whole`);
  if (served < 50) throw new Error(`only ${served} streams were served`);
  return findings;
});
