// Another writer leaves one entry in the platform's table of engines: complete, but of a
// service that no configuration names. Clients go on as before.
import {newId, runCase, send, sleep, startDeployment} from '../harness-3.mjs';

const SERVICE = '__proto__';
const RUN_MS = 30_000;
/** The route's timeout, and the time in which its answer must be there. */
const TIMEOUT_MS = 2000;
const ANSWER_MS = TIMEOUT_MS + 500;

await runCase(import.meta.url, async context => {
  const {record, isTrouble} = context;
  const {store, gateways} = await startDeployment(context, {
    gateways: 3,
    engines: [
      {id: 'i-3c10e7aa', service: 'jobs-app', version: 'v1'},
      {id: 'i-91d4f2b8', service: 'jobs-app', version: 'v1'},
      {id: 'i-7f3a91c2', service: 'sardine-pool', version: 'v1'},
    ],
  });
  await sleep(3000);
  let writtenAtMs = Infinity;
  const endMs = performance.now() + RUN_MS;
  const counts = {served: 0, other: 0, unanswered: 0, late: 0};
  const ask = async (gateway, client) => {
    const requestId = newId();
    const sentAtMs = performance.now();
    const answer = await send({
      host: gateway.host,
      port: gateway.front,
      path: '/look/a',
      headers: {
        host: 'app.example',
        'request-id': requestId,
        'deadline-ms': 4000,
        authorization: 'Bearer key-one',
      },
      timeoutMs: 4000,
    }).catch(error => ({status: 0, error: error.message}));
    const tookMs = Math.round(performance.now() - sentAtMs);
    if (answer.status === 200) counts.served++;
    else counts.other++;
    if (answer.status !== 200 || tookMs > TIMEOUT_MS) {
      record(
        `client ${client} at ${gateway.name}: ${requestId} ` +
          `${answer.status || answer.error} after ${tookMs} ms`,
      );
    }
    if (sentAtMs < writtenAtMs || tookMs < TIMEOUT_MS) return;
    counts.unanswered++;
    if (tookMs > ANSWER_MS) counts.late++;
  };
  const clients = gateways.flatMap(gateway =>
    [1, 2, 3].map(async client => {
      while (performance.now() < endMs) {
        await ask(gateway, client);
        await sleep(100);
      }
    }),
  );
  await sleep(5000);
  if (isTrouble) {
    store.state.putJson('servers', 'i-e04c77d1', {
      service: SERVICE,
      address: '127.60.2.1:9',
      zone: 'zone-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
      born: Date.now(),
    });
    writtenAtMs = performance.now();
    record(`another writer has added an entry of the service ${SERVICE}`);
  }
  await Promise.all(clients);
  record(JSON.stringify(counts));
  if (counts.served < 50) throw new Error('hardly anything was served');
  const findings = [];
  if (counts.late > 10 && counts.late > counts.unanswered / 2) {
    findings.push(
      `CONFIG: of ${counts.unanswered} requests that were unanswered at their ` +
        `route's ${TIMEOUT_MS} ms, ${counts.late} had no answer half a second later`,
    );
  }
  for (const {name, exits} of gateways) {
    for (const {code, signal} of exits) {
      findings.push(`Fault: ${name} ended by itself: ${signal ?? code}`);
    }
  }
  return findings;
});
