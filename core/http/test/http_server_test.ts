import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createHeapBudget, type HeapBudget} from '@sardinestile/connections';
import {createLogger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {expect} from 'earl';
import {H3} from 'h3';
import {startHttpServer, type HttpServer} from '../src/index.js';

const HOST = '127.0.0.1';

/** Time in which a server notices that a client has closed its connection, in milliseconds. */
const CLOSE_MS = 200;

/** Sends a text and returns what comes until the connection has closed. */
async function exchange(port: number, text: string): Promise<string> {
  const socket = connect(port, HOST);
  socket.write(text);
  let received = '';
  socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
  await once(socket, 'close');
  return received;
}

describe('startHttpServer', () => {
  it('answers 408 and closes the connection if the request headers are not completed in time', async () => {
    const server = await startHttpServer({
      app: new H3(),
      host: HOST,
      port: 0,
      headersTimeoutMs: 200,
    });
    const socket = connect(server.port, HOST);
    socket.write('GET / HTTP/1.1\r\nhost: h\r\nx-never: ');
    let responseText = '';
    socket.on('data', bytes => (responseText += bytes.toString()));
    await new Promise(resolve => socket.once('close', resolve));
    expect(responseText).toMatchRegex(/^HTTP\/1\.1 408 /);
    server.destroy();
  });

  it('drains only after its open requests have ended', async () => {
    let finishResponse: (text: string) => void;
    const finished = new Promise<string>(resolve => (finishResponse = resolve));
    let markArrived: () => void;
    const arrived = new Promise<void>(resolve => (markArrived = resolve));
    const app = new H3().get('/', () => {
      markArrived();
      return finished;
    });
    const server = await startHttpServer({app, host: HOST, port: 0});
    const response = fetch(`http://${HOST}:${server.port}/`);
    await arrived;
    server.disableKeepAlive();
    const drained = server.drain();
    finishResponse!('whole');
    expect(await (await response).text()).toEqual('whole');
    await drained;
  });
});

describe('startHttpServer with a heap budget', () => {
  const UNFINISHED =
    'POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nbody';
  let server: HttpServer;
  let budget: HeapBudget;
  beforeEach(async () => {
    budget = createHeapBudget({heapLimitBytes: 41_943_040});
    server = await startHttpServer({
      app: new H3()
        .get('/', () => 'served')
        .post('/early', () => new Response('early', {status: 401})),
      host: HOST,
      port: 0,
      heap: {
        budget,
        refusalApp: new H3().all(
          '/**',
          () => new Response('refused', {status: 503}),
        ),
        logger: createLogger({level: 'error'}),
        metrics: createMetricsRegistry(),
      },
    });
  });
  afterEach(() => server.destroy());

  /** Takes all of the budget; returns a function that gives it back. */
  const fillBudget = () => {
    const rawHeaders = ['large', 'v'.repeat(budget.limitBytes)];
    return budget.openRequest({url: '/', rawHeaders} as IncomingMessage);
  };

  it('refuses requests unread while there is no room', async () => {
    const url = `http://${HOST}:${server.port}/`;
    const release = fillBudget();
    const refused = await exchange(server.port, UNFINISHED);
    expect(refused).toMatchRegex(/^HTTP\/1\.1 503 /);
    expect(refused.toLowerCase()).toInclude('connection: close');
    expect((await fetch(url)).status).toEqual(503);
    release();
    expect((await fetch(url)).status).toEqual(200);
  });

  it('ends the connection of a request that was answered before it arrived whole', async () => {
    const answer = await exchange(server.port, UNFINISHED);
    expect(answer).toMatchRegex(/^HTTP\/1\.1 401 /);
    await sleep(CLOSE_MS);
    expect(budget.heldBytes).toEqual(0);
  });
});
