// The settings of gateways change, which get a SIGHUP, while an engine reports that it is
// draining and the configuration changes. Exits with 1 if a request reaches that engine
// later than `drain_ms` after the store has accepted its report.
import {
  BOUNDS,
  createConfiguration,
  isTroubled,
  nowMs,
  openClient,
  openRecord,
  runCase,
  sleep,
  startEngine,
  startGateway,
  startPlatform,
} from '../harness.mjs';

const GATEWAYS = 7;
const ENGINES = 3;
const ROUNDS = 16;
/** Time between two changes of the configuration, and of the settings of two parts. */
const CONFIG_GAP_MS = 340;
/** Time without requests after the report of the engine. */
const QUIET_MS = BOUNDS.drain_ms + 300;
const REQUESTS_PER_GATEWAY = 6;
const WORK_MS = 15;

const record = openRecord(import.meta.url);

await runCase(async ({directory, later}) => {
  const platform = await startPlatform();
  later(() => platform.close());
  platform.put('op', 'config', createConfiguration());
  const gateways = [];
  let started = 0;
  const addEngine = async () => {
    const engine = await startEngine(platform, {
      id: `i-${++started}`,
      respond({response, headers}) {
        if (engine.isLeaving) headers['Server-Leaving'] = '1';
        setTimeout(() => {
          response.writeHead(200, {...headers, 'Content-Length': 4});
          response.end('done');
        }, WORK_MS);
      },
    });
    later(() => engine.close());
    return engine;
  };
  const engines = [];
  for (let i = 0; i < ENGINES; i++) engines.push(await addEngine());
  for (let index = 1; index <= GATEWAYS; index++) {
    let storeReads = 0;
    const storeAddress = await platform.listenStore(({pathname}) => {
      if (pathname === '/api/rows-feed') storeReads++;
    });
    const options = {index, directory, storeAddress};
    const gateway = await startGateway(platform, options);
    later(() => gateway.end());
    gateways.push(gateway);
    gateway.countStoreReads = async () => {
      const before = storeReads;
      await sleep(2000);
      return storeReads - before;
    };
  }
  await Promise.all(gateways.map(gateway => gateway.waitReady()));
  // The gateways have found each other and chosen who reads the store.
  await sleep(5000);
  const reads = await Promise.all(
    gateways.map(gateway => gateway.countStoreReads()),
  );
  const followers = gateways.filter((_, i) => reads[i] === 0);
  record(`${followers.length} gateways follow others instead of the store`);

  let late = 0;
  let version = 1;
  for (let round = 1; round <= ROUNDS; round++) {
    const leaving = engines.shift();
    leaving.isLeaving = true;
    leaving.register({state: 'draining'});
    const reportedAtMs = nowMs();
    record(`round ${round}: the store has accepted that ${leaving.id} drains`);
    for (const part of [followers.slice(0, 3), followers.slice(3)]) {
      for (const gateway of part) {
        if (!isTroubled) continue;
        gateway.writeSettings(false, `edition = ${round}`);
        gateway.signal('SIGHUP');
      }
      platform.put('op', 'config', createConfiguration({}, ++version));
      await sleep(CONFIG_GAP_MS);
    }
    await sleep(reportedAtMs + QUIET_MS - nowMs());
    const sent = new Map();
    await Promise.all(
      followers.flatMap(gateway =>
        Array.from({length: REQUESTS_PER_GATEWAY}, async (_, i) => {
          const id = `${round}-${gateway.name}-${i}`;
          const client = openClient(gateway);
          sent.set(id, nowMs());
          const {status} = await client.send({path: '/look/door', id});
          if (status !== 200) record(`${id}: status ${status}`);
          client.close();
        }),
      ),
    );
    const wrong = leaving.runs.filter(({requestId}) => sent.has(requestId));
    for (const {requestId, atMs} of wrong) {
      record(
        `${requestId} sent ${sent.get(requestId) - reportedAtMs} ms after the ` +
          `report reached ${leaving.id} ${atMs - reportedAtMs} ms after it`,
      );
    }
    record(
      `round ${round}: ${sent.size} requests, ${wrong.length} at ${leaving.id}`,
    );
    late += wrong.length;
    leaving.close();
    platform.remove('servers', leaving.id);
    engines.push(await addEngine());
    await sleep(1500);
  }
  console.log(
    `late ${late}`,
    gateways.flatMap(({exits}) => exits),
  );
  return late > 0;
});
