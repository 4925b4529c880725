import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {beforeEach, describe, it} from 'node:test';
import {createAddressOpener} from '@sardinestile/connections';
import {expect} from 'earl';
import {createTextServers} from '../src/text_server.js';

const HOST = '127.0.0.1';

/** Metrics that the socket buffers of both sides cannot hold. */
const LARGE_TEXT = 'x'.repeat(16_000_000);

/** Time that the server has for its open responses, in milliseconds. */
const LIMIT_MS = 5_000;

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

describe('a text server that stops', () => {
  let port: number;
  beforeEach(async () => (port = await findFreePort()));

  async function start(renderMetrics: () => Promise<string>) {
    const [server] = createTextServers({
      readinessAddress: undefined,
      metricsAddress: {host: HOST, port},
      isReady: () => true,
      renderMetrics,
    });
    await server.open(createAddressOpener());
    return server;
  }

  it('delivers metrics to a scraper that reads late', async () => {
    const server = await start(async () => LARGE_TEXT);
    const socket = connect(port, HOST);
    socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
    await once(socket, 'readable');
    const closed = server.close(LIMIT_MS);
    let receivedBytes = 0;
    socket.on('data', (bytes: Buffer) => (receivedBytes += bytes.length));
    await Promise.all([closed, once(socket, 'close')]);
    expect(receivedBytes > LARGE_TEXT.length).toEqual(true);
  });
});
