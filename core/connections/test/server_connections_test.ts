import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  manageConnections,
  type ConnectionEnd,
  type ServerConnections,
} from '../src/index.js';

const HOST = '127.0.0.1';

/** Time after which a connection without a request counts as idle, in milliseconds. */
const IDLE_MS = 600;

function requestOf(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

describe('manageConnections', () => {
  let closeServer: () => void;
  let connections: ServerConnections;
  let taken: Array<{path: string; response: ServerResponse}>;
  let unanswerable: string[];
  let ends: ConnectionEnd[];
  let peer: Socket;
  let received: string;

  const waitFor = async (condition: () => boolean) => {
    while (!condition()) await sleep(5);
  };
  const take = async (count: number) => {
    await waitFor(() => taken.length >= count);
    return taken[count - 1].response;
  };
  const countResponses = () => received.split('HTTP/1.1 200').length - 1;

  beforeEach(async () => {
    // Connections of an earlier test may end later.
    const ownTaken: typeof taken = (taken = []);
    const ownUnanswerable: string[] = (unanswerable = []);
    const ownEnds: ConnectionEnd[] = (ends = []);
    received = '';
    const httpServer = createServer();
    connections = manageConnections(httpServer, {
      handler: (request, response) =>
        ownTaken.push({path: request.url ?? '', response}),
      onEnded: end => ownEnds.push(end),
      onUnanswerable: request => ownUnanswerable.push(request.url ?? ''),
    });
    closeServer = () => httpServer.close();
    httpServer.listen(0, HOST);
    await once(httpServer, 'listening');
    const {port} = httpServer.address() as AddressInfo;
    peer = connect({host: HOST, port, allowHalfOpen: true});
    peer.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    peer.on('error', () => undefined);
    await once(peer, 'connect');
  });
  afterEach(() => {
    peer.destroy();
    connections.destroyAll();
    closeServer();
  });

  describe('after keep-alive was disabled', () => {
    it('takes the next request of a connection whose response had begun before', async () => {
      peer.write(requestOf('/1'));
      const first = await take(1);
      first.write('a');
      connections.disableKeepAlive();
      first.end();
      await waitFor(() => countResponses() === 1);
      peer.write(requestOf('/2'));
      (await take(2)).end('b');
      await once(peer, 'end');
      expect(countResponses()).toEqual(2);
      expect(received.match(/connection: close/gi)?.length).toEqual(1);
    });

    it('lets the newest of several open responses announce the end', async () => {
      peer.write(requestOf('/1'));
      const first = await take(1);
      connections.disableKeepAlive();
      peer.write(requestOf('/2'));
      const second = await take(2);
      first.end('a');
      second.end('b');
      await once(peer, 'end');
      expect(countResponses()).toEqual(2);
      expect(received.indexOf('close') > received.lastIndexOf('HTTP/')).toEqual(
        true,
      );
    });

    it('serves no request that arrives after the end was announced', async () => {
      connections.disableKeepAlive();
      peer.write(requestOf('/1'));
      (await take(1)).end('a');
      await once(peer, 'end');
      peer.write(requestOf('/2'));
      await waitFor(() => unanswerable.length > 0);
      expect(unanswerable).toEqual(['/2']);
      expect(taken.length).toEqual(1);
    });
  });

  describe('endIdle', () => {
    it('leaves a request unread that crosses the end', async () => {
      await sleep(IDLE_MS);
      connections.endIdle();
      await once(peer, 'end');
      peer.write(requestOf('/1'));
      await waitFor(() => ends.length > 0);
      expect(taken).toEqual([]);
      expect(unanswerable).toEqual([]);
      expect(ends[0].reason).toEqual('idle');
    });

    it('ends a connection with a rest of a body that was answered early', async () => {
      peer.write('POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n');
      (await take(1)).end('a');
      await waitFor(() => countResponses() === 1);
      peer.write('rest');
      await sleep(IDLE_MS);
      connections.endIdle();
      await once(peer, 'end');
    });

    it('ends a connection on which a part of a request has stayed for seconds', async () => {
      peer.write('\r\n');
      await sleep(20);
      connections.endIdle();
      await sleep(3_200);
      connections.endIdle();
      await once(peer, 'end');
    });

    it('leaves connections alone on which a request is open or arriving', async () => {
      peer.write('GET /1 HTTP/1.1\r\n');
      await sleep(IDLE_MS);
      connections.endIdle();
      peer.write('Host: h\r\n\r\n');
      const response = await take(1);
      await sleep(IDLE_MS);
      connections.endIdle();
      response.end('a');
      await waitFor(() => countResponses() === 1);
      expect(ends).toEqual([]);
    });
  });

  describe('a caller of HTTP/1.0 that asks for keep-alive', () => {
    it('has no second request taken that could not be answered', async () => {
      const request = 'GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n';
      peer.write(request);
      const first = await take(1);
      first.write('a');
      peer.write(request);
      await waitFor(() => unanswerable.length > 0);
      first.end('b');
      await once(peer, 'end');
      expect(taken.length).toEqual(1);
      expect(countResponses()).toEqual(1);
    });
  });

  it('reports what a connection held when it was destroyed', async () => {
    peer.write(requestOf('/1'));
    await take(1);
    connections.destroyAll();
    await waitFor(() => ends.length > 0);
    expect(ends[0].reason).toEqual('drainLimit');
    expect(ends[0].openRequests.map(({url}) => url)).toEqual(['/1']);
    expect(ends[0].isResponseCut).toEqual(false);
  });
});
