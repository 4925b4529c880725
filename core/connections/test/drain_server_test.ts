import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {
  connect,
  createServer as createTcpServer,
  type AddressInfo,
  type Socket,
} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  drainServer,
  finishAccepting,
  MANAGED_SERVER_OPTIONS,
  manageConnections,
  type ServerConnections,
} from '../src/index.js';

/** Peers that connect at once; Node.js accepts one connection in each iteration of its event loop. */
const PEERS = 50;

/** Time after which a connection without a request counts as idle, in milliseconds. */
const IDLE_MS = 600;

/** Time of an iteration of the event loop; those for all peers take longer than a connection may be idle, in milliseconds. */
const SLOW_ITERATION_MS = 16;

/** Time for which each poll is occupied, in milliseconds. */
const BUSY_MS = 300;

/** Two connected sockets that occupy each poll of the event loop until they are closed. */
async function openBusyPeers() {
  const tcpServer = createTcpServer();
  tcpServer.listen(0, '127.0.0.1');
  await once(tcpServer, 'listening');
  const first = connect((tcpServer.address() as AddressInfo).port);
  const [second] = (await once(tcpServer, 'connection')) as [Socket];
  const busy = {
    /** Called once in each poll, with the number of polls before it. */
    onPoll: (_poll: number): void => undefined,
    close() {
      first.destroy();
      second.destroy();
      tcpServer.close();
    },
  };
  let polls = 0;
  second.on('data', () => {
    busy.onPoll(polls++);
    const endMs = performance.now() + BUSY_MS;
    while (performance.now() < endMs);
    first.write('a');
  });
  first.write('a');
  return busy;
}

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
  const call = async (body = '') => {
    const {port} = server.address() as AddressInfo;
    const peer = connect(port, '127.0.0.1');
    peers.push(peer);
    let received = '';
    peer.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    peer.on('error', () => undefined);
    peer.write(
      `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    await new Promise(resolve => peer.once('close', resolve));
    return received;
  };

  it('answers requests on connections that wait to be accepted when it stops accepting', async () => {
    const calls = Array.from({length: PEERS}, () => call());
    await once(peers.at(-1)!, 'connect');
    const drained = drainServer(server, connections);
    const received = await Promise.all(calls);
    await drained;
    expect(
      received.filter(text => text.startsWith('HTTP/1.1 200')).length,
    ).toEqual(PEERS);
  });

  it('does not end the connections that it accepts last as idle, however long that takes', async () => {
    const calls = Array.from({length: PEERS}, () => call());
    await once(peers.at(-1)!, 'connect');
    let isDrained = false;
    const keepBusy = () => {
      const endMs = performance.now() + SLOW_ITERATION_MS;
      while (performance.now() < endMs);
      if (!isDrained) setImmediate(keepBusy);
    };
    keepBusy();
    const drained = drainServer(server, connections);
    const received = await Promise.all(calls);
    await drained;
    isDrained = true;
    expect(received.filter(text => text.includes('200')).length).toEqual(PEERS);
  });

  // Guards against input of thousands of connections that is held in the process at once.
  it('reads nothing from the connections that it accepts last before it has accepted all', async () => {
    const calls = Array.from({length: PEERS}, () => call('a'.repeat(100_000)));
    await once(peers.at(-1)!, 'connect');
    const last: Socket[] = [];
    const readEarly = new Set<Socket>();
    server.on('connection', (socket: Socket) => {
      for (const other of last) if (other.bytesRead > 0) readEarly.add(other);
      last.push(socket);
    });
    await finishAccepting(server, 1_000);
    expect(last.length > PEERS / 2).toEqual(true);
    expect(readEarly.size).toEqual(0);
    const received = await Promise.all(calls);
    expect(received.filter(text => text.includes('200')).length).toEqual(PEERS);
  });

  it('does not end a connection as idle whose request lies unread, as the event loop is late', async () => {
    const {port} = server.address() as AddressInfo;
    const peer = connect(port, '127.0.0.1');
    peers.push(peer);
    let received = '';
    peer.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    await once(peer, 'connect');
    await sleep(IDLE_MS);
    const busy = await openBusyPeers();
    const drained = drainServer(server, connections);
    busy.onPoll = poll => {
      // By then each iteration of the event loop looks for idle connections.
      if (poll === 3) peer.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    };
    await once(peer, 'end');
    busy.close();
    peer.end();
    await drained;
    expect(received).toInclude('HTTP/1.1 200');
  });

  it('refuses connections that come afterwards', async () => {
    const {port} = server.address() as AddressInfo;
    await drainServer(server, connections);
    const peer = connect(port, '127.0.0.1');
    const [error] = (await once(peer, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).toEqual('ECONNREFUSED');
  });
});
