import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  INITIAL_API_KEY,
  ROUTE_PATHS,
  startSlowCaller,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Limit below the need of the process, so that the budget is the smallest one, 8 MB. */
const MEMORY_LIMIT_MB = 100;
const BUDGET_BYTES = 8 * 1_048_576;

/** Returns the sum of the held bytes, or those of one kind, as the metrics state them. */
async function heldBytes(gateway: TestGateway, kind = ''): Promise<number> {
  const lines = (await gateway.scrape()).split('\n');
  return lines
    .filter(line => line.startsWith(`sardinestile_held_bytes{kind="${kind}`))
    .reduce((sum, line) => sum + Number(line.split(' ')[1]), 0);
}

describe('a gateway with little memory', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  /** Closes the connections that a failed test leaves open. */
  const cleanUps: Array<() => void> = [];
  before(async () => {
    cluster = await createGatewayCluster(2, {memoryLimitMb: MEMORY_LIMIT_MB});
    cluster.configure(config => {
      config.limits.max_body_bytes = 4_000_000;
      config.services[0].max_conns = 1_000;
      for (const route of config.routes) route.timeout_ms = 15_000;
    });
    gateway = await cluster.startGateway();
  });
  after(() => {
    cleanUps.forEach(cleanUp => cleanUp());
    return cluster.close();
  });

  const startStreams = (name: string) =>
    Array.from({length: 50}, (_, i) =>
      gateway.call({
        path: ROUTE_PATHS.stream,
        headers: createKeyedHeaders(`${name}${i}`),
      }),
    );

  it('serves 50 long streams while callers do not read large events', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) =>
        url.startsWith('/stream')
          ? {kind: 'stream', events: 50, gapMs: 50}
          : {kind: 'bulkStream', events: 12, eventBytes: 400_000};
    }
    const streams = startStreams('beside-unread');
    const callers = Array.from({length: 25}, (_, i) =>
      startSlowCaller({
        address: gateway.address,
        path: ROUTE_PATHS.resumable,
        headers: createKeyedHeaders(`unread${i}`),
      }),
    );
    cleanUps.push(...callers.map(caller => caller.disconnect));
    let isStreaming = true;
    const ends = Promise.all(streams).finally(() => (isStreaming = false));
    let mostHeldBytes = 0;
    while (isStreaming) {
      mostHeldBytes = Math.max(mostHeldBytes, await heldBytes(gateway));
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    const responses = await ends;
    expect(responses.every(({isComplete}) => isComplete)).toEqual(true);
    expect(mostHeldBytes > 0.5 * BUDGET_BYTES).toEqual(true);
    expect(mostHeldBytes <= BUDGET_BYTES).toEqual(true);
    const ended = gateway.logs.filter(line =>
      line.includes('event=unread_response_ended'),
    );
    expect(ended.length > 0).toEqual(true);
    // Those that were not ended get the whole response once they read it.
    const rest = await Promise.all(callers.map(caller => caller.readRest()));
    const complete = rest.filter(({isComplete}) => isComplete);
    expect(complete.length).toEqual(callers.length - ended.length);
    await waitUntil('everything to be released', async () => {
      return (await heldBytes(gateway)) === 0;
    });
  });

  it('holds little for one caller that does not read an endless stream', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({url}) =>
        url.startsWith('/stream')
          ? {kind: 'stream', events: 60, gapMs: 30}
          : {kind: 'bulkStream', events: 2_000, eventBytes: 50_000};
    }
    const caller = startSlowCaller({
      address: gateway.address,
      path: ROUTE_PATHS.resumable,
      headers: createKeyedHeaders('endless'),
    });
    cleanUps.push(caller.disconnect);
    const responses = await Promise.all(startStreams('beside-endless'));
    expect(responses.every(({isComplete}) => isComplete)).toEqual(true);
    const held = await heldBytes(gateway);
    expect(held > 0 && held < 500_000).toEqual(true);
    caller.disconnect();
    await waitUntil('everything to be released', async () => {
      return (await heldBytes(gateway)) === 0;
    });
  });

  it('refuses large bodies as not run while callers upload slowly, and serves small requests', async () => {
    for (const upstream of cluster.upstreams) {
      upstream.received.length = 0;
      upstream.chooseBehaviour = () => ({kind: 'answer'});
    }
    const [host, port] = gateway.address.split(':');
    const uploads = Array.from({length: 100}, (_, i) => {
      const socket = connect(Number(port), host);
      let text = '';
      socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
      socket.on('error', () => undefined);
      socket.write(
        `POST ${ROUTE_PATHS.once} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: up${i}\r\n` +
          `Authorization: Bearer ${INITIAL_API_KEY}\r\nContent-Length: 90000\r\n\r\n`,
      );
      socket.write('x'.repeat(80_000));
      return {socket, text: () => text};
    });
    cleanUps.push(
      ...uploads.map(
        ({socket}) =>
          () =>
            void socket.destroy(),
      ),
    );
    await waitUntil('refusals', () =>
      uploads.some(({text}) => text().includes('memoryShort')),
    );
    await new Promise(resolve => setTimeout(resolve, 300));
    const refused = uploads.filter(({text}) => text().length > 0);
    expect(refused.every(({text}) => text().includes(' 503 '))).toEqual(true);
    expect((await heldBytes(gateway)) <= 0.75 * BUDGET_BYTES).toEqual(true);
    const received = cluster.upstreams.flatMap(upstream => upstream.received);
    expect(received.length).toEqual(0);
    const {status} = await gateway.call({
      method: 'POST',
      path: ROUTE_PATHS.idempotent,
      headers: createKeyedHeaders('small'),
      body: 'small',
    });
    expect(status).toEqual(200);
    uploads.forEach(({socket}) => socket.destroy());
    await waitUntil('everything to be released', async () => {
      return (await heldBytes(gateway)) === 0;
    });
  });

  it('counts bodies that an upstream does not read', async () => {
    const sockets: Socket[] = [];
    const unreading = createServer({pauseOnConnect: true}, socket => {
      socket.on('error', () => undefined);
      sockets.push(socket);
    });
    cleanUps.push(() => {
      sockets.forEach(socket => socket.destroy());
      unreading.close();
    });
    await new Promise<void>(resolve =>
      unreading.listen(0, '127.0.0.1', resolve),
    );
    const {port} = unreading.address() as AddressInfo;
    for (const {id} of cluster.upstreams) cluster.store.remove('servers', id);
    const unreadingUpstream = {
      ...cluster.upstreams[0],
      id: 'unreading',
      address: `127.0.0.1:${port}`,
    };
    cluster.register(unreadingUpstream);
    await new Promise(resolve => setTimeout(resolve, 3_000));
    const send = (id: string) =>
      gateway.call({
        method: 'POST',
        path: ROUTE_PATHS.once,
        headers: createKeyedHeaders(id),
        body: 'x'.repeat(2_500_000),
      });
    const held = [send('held0'), send('held1')];
    await waitUntil('the bodies to be counted', async () => {
      return (await heldBytes(gateway, 'requestBody')) === 5_000_000;
    });
    const {status, body} = await send('beyond');
    expect(status).toEqual(503);
    expect(body).toInclude('memoryShort');
    expect((await Promise.all(held)).map(response => response.status)).toEqual([
      504, 504,
    ]);
    await waitUntil('everything to be released', async () => {
      return (await heldBytes(gateway)) === 0;
    });
  });
});
