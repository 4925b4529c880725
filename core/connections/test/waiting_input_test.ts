import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  createInputPacer,
  manageConnections,
  type PacedConnection,
  type ServerConnections,
} from '../src/index.js';

/** Time after which a connection without a request counts as idle, and more, in milliseconds. */
const IDLE_MS = 600;

describe('a request that waits to be parsed', () => {
  let server: Server;
  let connections: ServerConnections;
  let waiting: PacedConnection | undefined;
  before(async () => {
    server = createServer();
    connections = manageConnections(server, {
      handler: (_request, response) => void response.end('served'),
      pacer: {
        open: connection => ({
          mustWait: () => true,
          recordUse: () => undefined,
          wait: () => (waiting = connection),
          leave: () => undefined,
        }),
        usage: createInputPacer().usage,
      },
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  after(() => server.close());

  it('keeps its connection from being idle and its server from being settled', async () => {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
    await sleep(IDLE_MS);
    expect(connections.hasWaitingInput).toEqual(true);
    expect(connections.isSettled).toEqual(false);
    connections.endIdle();
    waiting!.parseNext();
    await new Promise(resolve => socket.once('close', resolve));
    expect(received).toEqual(expect.includes('served'));
    expect(connections.hasWaitingInput).toEqual(false);
  });
});
