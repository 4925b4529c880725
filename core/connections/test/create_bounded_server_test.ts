import {once} from 'node:events';
import type {Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {createBoundedServer, manageConnections} from '../src/index.js';

const HOST = '127.0.0.1';
const MAX_CONNECTIONS = 2;
const MAX_HEADER_BYTES = 1_024;

describe('createBoundedServer', () => {
  let server: Server;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    server = createBoundedServer({
      maxConnections: MAX_CONNECTIONS,
      maxHeaderBytes: MAX_HEADER_BYTES,
    });
    manageConnections(server, {
      handler: (_request, response) => void response.end('sound'),
    });
    server.listen(0, HOST);
    await once(server, 'listening');
  });
  afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    server.close();
  });

  async function open(): Promise<Socket> {
    const socket = connect((server.address() as AddressInfo).port, HOST);
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  }

  it('closes connections beyond the limit unread, so that unfinished headers cannot fill the heap', async () => {
    for (let count = 0; count < MAX_CONNECTIONS; count++) {
      (await open()).write('GET / HTTP/1.1\r\nX-Unfinished: ');
    }
    const beyond = await open();
    await once(beyond, 'close');
    expect(beyond.bytesRead).toEqual(0);
  });

  it('answers 431 to headers beyond their limit', async () => {
    const socket = await open();
    socket.write(`GET / HTTP/1.1\r\nX: ${'x'.repeat(MAX_HEADER_BYTES)}\r\n`);
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    expect(bytes.toString().startsWith('HTTP/1.1 431')).toEqual(true);
  });
});
