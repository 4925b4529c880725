import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  drainServer,
  MANAGED_SERVER_OPTIONS,
  manageConnections,
  type ServerConnections,
} from '../src/index.js';

/** Peers that connect at once; Node.js accepts one connection in each iteration of its event loop. */
const PEERS = 50;

describe('drainServer', () => {
  let server: Server;
  let connections: ServerConnections;
  let peers: Socket[];
  beforeEach(async () => {
    server = createServer(MANAGED_SERVER_OPTIONS);
    connections = manageConnections(server, {
      handler: (_request, response) => void response.end('a'),
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    peers = [];
  });
  afterEach(() => {
    peers.forEach(peer => peer.destroy());
    connections.destroyAll();
    server.close();
  });

  /** Connects, sends a request and returns what arrives until the connection ends. */
  const call = async () => {
    const {port} = server.address() as AddressInfo;
    const peer = connect(port, '127.0.0.1');
    peers.push(peer);
    let received = '';
    peer.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    peer.on('error', () => undefined);
    peer.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise(resolve => peer.once('close', resolve));
    return received;
  };

  it('answers requests on connections that wait to be accepted when it stops accepting', async () => {
    const calls = Array.from({length: PEERS}, call);
    await once(peers.at(-1)!, 'connect');
    const drained = drainServer(server, connections);
    const received = await Promise.all(calls);
    await drained;
    expect(
      received.filter(text => text.startsWith('HTTP/1.1 200')).length,
    ).toEqual(PEERS);
  });

  it('refuses connections that come afterwards', async () => {
    const {port} = server.address() as AddressInfo;
    await drainServer(server, connections);
    const peer = connect(port, '127.0.0.1');
    const [error] = (await once(peer, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).toEqual('ECONNREFUSED');
  });
});
