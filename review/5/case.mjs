// Two machines are added while the settings of all machines change three times, each time
// with a SIGHUP. Exits with 1 if the processes of two machines end by themselves three
// times each.
import {
  createConfiguration,
  isTroubled,
  nowMs,
  openRecord,
  runCase,
  sleep,
  startEngine,
  startGateway,
  startPlatform,
} from '../harness.mjs';

const GATEWAYS = 4;
const ADDED = 2;
const CHANGES = 3;
/** Time from the start of the new processes to the first change, and between changes. */
const FIRST_CHANGE_MS = 150;
const CHANGE_GAP_MS = 350;
/** Delay after which the platform restarts a process that has ended. */
const RESTART_DELAY_MS = 200;
/** Machines, and ends of their processes, that make the day a fault. */
const ALLOWED_MACHINES = 2;
const ALLOWED_ENDS = 3;

const record = openRecord(import.meta.url);

await runCase(async ({directory, later}) => {
  const platform = await startPlatform();
  later(() => platform.close());
  platform.put('op', 'config', createConfiguration());
  const engine = await startEngine(platform, {
    id: 'i-1',
    respond({response, headers}) {
      response.writeHead(200, {...headers, 'Content-Length': 4});
      response.end('done');
    },
  });
  later(() => engine.close());
  const gateways = [];
  for (let index = 1; index <= GATEWAYS; index++) {
    gateways.push(await startGateway(platform, {index, directory}));
  }
  later(() => Promise.all(gateways.map(gateway => gateway.end())));
  await Promise.all(gateways.map(gateway => gateway.waitReady()));
  await sleep(4000);

  let isOver = false;
  const ends = new Map();
  const superviseAll = async () => {
    while (!isOver) {
      for (const gateway of gateways) {
        const known = ends.get(gateway) ?? 0;
        if (gateway.exits.length <= known) continue;
        const {code, signal, atMs} = gateway.exits.at(-1);
        record(
          `${gateway.name} ended at ${atMs} ms, code ${code}, signal ${signal}`,
        );
        ends.set(gateway, gateway.exits.length);
        setTimeout(() => {
          if (isOver) return;
          record(`${gateway.name} is started again`);
          gateway.start();
        }, RESTART_DELAY_MS);
      }
      await sleep(5);
    }
  };
  const supervision = superviseAll();
  for (let i = 1; i <= ADDED; i++) {
    const index = GATEWAYS + i;
    gateways.push(await startGateway(platform, {index, directory}));
    record(`${gateways.at(-1).name} is added`);
  }
  await sleep(FIRST_CHANGE_MS);
  for (let change = 1; change <= CHANGES; change++) {
    if (isTroubled) {
      record(`the settings change, SIGHUP to ${gateways.length} machines`);
      for (const gateway of gateways) {
        gateway.writeSettings(false, `edition = ${change}`);
        gateway.signal('SIGHUP');
      }
    }
    await sleep(CHANGE_GAP_MS);
  }
  await sleep(3000);
  const ready = await Promise.all(gateways.map(gateway => gateway.isReady()));
  isOver = true;
  await supervision;
  const counts = gateways.map(({name, exits}) => [name, exits.length]);
  for (const [i, [name, count]] of counts.entries()) {
    record(
      `${name}: ${count} ends, ${ready[i] ? 'ready' : 'not ready'} at last`,
    );
  }
  record(`end of the run at ${nowMs()} ms`);
  console.log(Object.fromEntries(counts));
  const fallen = counts.filter(([, count]) => count >= ALLOWED_ENDS).length;
  return fallen >= ALLOWED_MACHINES;
});
