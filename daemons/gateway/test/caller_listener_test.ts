import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createAddressOpener} from '@sardinestile/connections';
import {expect} from 'earl';
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
