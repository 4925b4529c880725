import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createAddressOpener, createHeapBudget} from '@sardinestile/connections';
import {expect} from 'earl';
import {createLogger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {createCallerListener} from '../src/calls/caller_listener.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Starts a listener whose responses have bodies of a size. */
async function startListener(bodyBytes: number) {
  const port = await findFreePort();
  const listener = createCallerListener({
    host: HOST,
    port,
    maxHeaderBytes: 16_384,
    heapBudget: createHeapBudget({heapLimitBytes: Infinity}),
    logger: createLogger({level: 'error'}),
    metrics: createMetricsRegistry(),
    handler(_request, response) {
      response.setHeader('Content-Length', bodyBytes);
      response.end(Buffer.alloc(bodyBytes));
      return Promise.resolve();
    },
    onConnectionEnded: () => undefined,
    onUnanswerable: () => undefined,
  });
  await listener.open(createAddressOpener());
  return {listener, port};
}

describe('a listener that drains', () => {
  it('delivers a response that the handler has ended and the caller reads late', async () => {
    const bodyBytes = 16_000_000;
    const {listener, port} = await startListener(bodyBytes);
    const socket = connect(port, HOST);
    let receivedBytes = 0;
    socket.on('data', (bytes: Buffer) => (receivedBytes += bytes.length));
    socket.on('error', () => undefined);
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.write(REQUEST);
    await once(socket, 'data');
    socket.pause();
    const drained = listener.drain(7_500, performance.now());
    // Idle connections are closed from three seconds after the start of the drain on.
    await sleep(3_500);
    socket.resume();
    await Promise.all([drained, closed]);
    listener.close();
    expect(receivedBytes > bodyBytes).toEqual(true);
  });

  it('answers a request that it has not read yet when its time is over', async () => {
    const {listener, port} = await startListener(4);
    const socket = connect(port, HOST);
    let received = '';
    socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
    socket.on('error', () => undefined);
    const closed = new Promise(resolve => socket.once('close', resolve));
    await once(socket, 'connect');
    await listener.drain(0, performance.now());
    socket.write(REQUEST);
    await listener.finish(150);
    listener.close();
    await closed;
    expect(received).toMatchRegex(/^HTTP\/1\.1 200 /);
  });
});

describe('the limit of headers', () => {
  const limits = (maxHeaderBytes: number) => ({
    maxHeaderBytes,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  });
  const requestWith = (headerBytes: number) =>
    REQUEST.replace('Host: h', `Host: h\r\nA: ${'v'.repeat(headerBytes)}`);
  const open = async (port: number) => {
    const socket = connect(port, HOST);
    await once(socket, 'connect');
    const send = async (text: string) => {
      socket.write(text);
      const [bytes] = (await once(socket, 'data')) as [Buffer];
      return bytes.toString('latin1').split('\r\n\r\n')[0];
    };
    return {socket, send};
  };

  it('holds for connections that are accepted after it was set', async () => {
    const {listener, port} = await startListener(4);
    listener.applyLimits(limits(4_000));
    const first = await open(port);
    expect(await first.send(requestWith(3_000))).toMatchRegex(/ 200 OK/);
    expect(await first.send(requestWith(6_000))).toMatchRegex(/ 431 /);
    listener.close();
  });

  it('ends connections with a lower one after their next response', async () => {
    const {listener, port} = await startListener(4);
    listener.applyLimits(limits(4_000));
    const first = await open(port);
    expect(await first.send(REQUEST)).toMatchRegex(/ 200 OK/);
    listener.applyLimits(limits(8_000));
    expect(await first.send(REQUEST)).toMatchRegex(/Connection: close/i);
    await once(first.socket, 'close');
    const second = await open(port);
    expect(await second.send(requestWith(6_000))).toMatchRegex(/ 200 OK/);
    listener.close();
  });
});
