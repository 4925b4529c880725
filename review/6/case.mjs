// Bookings over kept connections, while two of four engines of another service answer streams with
// newlines without end.
import http from 'node:http';
import {runCase, send, sleep, streamEvents, waitUntil} from '../harness-2.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const GATEWAYS = 2;
const POOL_ENGINES = 4;
const APP_ENGINES = 3;
const STREAMS_PER_S = 10;
const BOOKINGS_PER_S = 50;
const WORK_MS = 500;
const CALM_MS = 3_000;
const FAULTY_ENGINES = 2;
const FAULTY_MS = 5_000;
const AFTER_MS = 4_000;
const NEWLINES = Buffer.alloc(65_536, '\n');

const createRoute = (name, fields) => ({
  name,
  host: 'case.example',
  prefix: `/${name}/`,
  priority: 1,
  ...fields,
});

const CONFIG = {
  version: 3,
  routes: [
    createRoute('digest', {
      kind: 'streaming',
      service: 'pool',
      timeout_ms: 5_000,
      target_latency_ms: 500,
      target_gap_ms: 200,
      max_attempts: 2,
      resumable: true,
    }),
    createRoute('booking', {
      kind: 'non_idempotent',
      service: 'app',
      timeout_ms: 2_000,
      target_latency_ms: 300,
      max_attempts: 1,
    }),
  ],
  services: [
    {name: 'pool', health_path: '/health', max_conns: 360},
    {name: 'app', health_path: '/health', max_conns: 96},
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{name: 'tenant-a', api_keys: ['key-a']}],
};

await runCase(
  import.meta.url,
  async ({gateways, engines, ...system}, record) => {
    let isFaulty = false;
    const faultyEngines = [];
    let endless = 0;
    const sendNewlines = ({response, headers}) => {
      endless++;
      response.writeHead(200, {
        ...headers,
        'content-type': 'text/event-stream',
      });
      const writeMore = () => {
        if (response.destroyed) return;
        if (response.write(NEWLINES)) setImmediate(writeMore);
        else response.once('drain', writeMore);
      };
      writeMore();
    };
    const stream = call => {
      if (isFaulty && faultyEngines.includes(call.engine)) sendNewlines(call);
      else streamEvents(call, {events: 13, gapMs: 50});
    };
    const book = ({response, headers}) =>
      setTimeout(
        () =>
          response
            .writeHead(200, {...headers, 'content-length': 4})
            .end('done'),
        WORK_MS,
      );
    for (let i = 0; i < POOL_ENGINES; i++) {
      await system.addEngine({service: 'pool', respond: stream});
    }
    faultyEngines.push(...engines.slice(0, FAULTY_ENGINES));
    for (let i = 0; i < APP_ENGINES; i++)
      await system.addEngine({service: 'app', respond: book});
    system.configure(CONFIG);
    for (let i = 0; i < GATEWAYS; i++) await system.addGateway();
    await waitUntil('ready gateways', async () => {
      const states = await Promise.all(
        gateways.map(gateway => gateway.isReady()),
      );
      return states.every(Boolean);
    });
    await sleep(3_000);

    let sent = 0;
    const createHeaders = requestId => ({
      Host: 'case.example',
      'Request-Id': requestId,
      'Deadline-Ms': '4000',
      Authorization: 'Bearer key-a',
    });
    const callStream = async gateway => {
      const requestId = `stream-${sent++}`;
      const {status, isComplete} = await send({
        host: gateway.host,
        method: 'POST',
        path: '/digest/x',
        body: 'prompt',
        headers: createHeaders(requestId),
        limitMs: 6_000,
      });
      record.add('answer', {
        requestId,
        gateway: gateway.name,
        status,
        isComplete,
      });
    };
    const agents = gateways.map(
      () => new http.Agent({keepAlive: true, maxSockets: 60}),
    );
    const bookings = [];
    const callBooking = async (gateway, agent) => {
      const requestId = `booking-${sent++}`;
      const answer = await send({
        host: gateway.host,
        method: 'POST',
        path: '/booking/x',
        body: 'order',
        headers: createHeaders(requestId),
        agent,
        limitMs: 4_000,
      });
      const {status, isComplete, isReused, hasTimedOut} = answer;
      const run = engines
        .flatMap(({runs}) => runs)
        .find(r => r.requestId === requestId);
      const isLost =
        run !== undefined && isReused && !isComplete && !hasTimedOut;
      const booking = {
        requestId,
        gateway: gateway.name,
        status,
        isComplete,
        isReused,
        isLost,
      };
      bookings.push(booking);
      record.add('answer', {...booking, hasRun: run !== undefined});
    };
    const endMs = performance.now() + CALM_MS + FAULTY_MS + AFTER_MS;
    const sendSteadily = async (perS, start) => {
      const open = [];
      while (performance.now() < endMs) {
        open.push(start());
        await sleep(1_000 / perS);
      }
      await Promise.all(open);
    };
    const load = gateways.flatMap((gateway, i) => [
      sendSteadily(STREAMS_PER_S, () => callStream(gateway)),
      sendSteadily(BOOKINGS_PER_S, () => callBooking(gateway, agents[i])),
    ]);
    await sleep(CALM_MS);
    if (HAS_TROUBLE) {
      isFaulty = true;
      record.add('engines begin to send newlines', {
        engines: faultyEngines.map(({id}) => id),
      });
    }
    await sleep(FAULTY_MS);
    isFaulty = false;
    await Promise.all(load);
    agents.forEach(agent => agent.destroy());

    const sum = {endless};
    for (const {name, ends} of gateways) {
      const own = bookings.filter(({gateway}) => gateway === name);
      sum[name] = {
        bookings: own.length,
        answered: own.filter(({isComplete}) => isComplete).length,
        lost: own.filter(({isLost}) => isLost).length,
        endsByItself: ends,
      };
    }
    record.add('sum', sum);
    console.log(JSON.stringify(sum));
    if (bookings.every(({isComplete}) => !isComplete)) return 2;
    return gateways.some(({name}) => sum[name].lost > 3) ? 1 : 0;
  },
);
