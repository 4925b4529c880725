import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  MANAGED_SERVER_OPTIONS,
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
    const httpServer = createServer(MANAGED_SERVER_OPTIONS);
    connections = manageConnections(httpServer, {
      handler: (request, response) =>
        void ownTaken.push({path: request.url ?? '', response}),
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
      await waitFor(() => connections.openResponses().length === 2);
      first.end('a');
      (await take(2)).end('b');
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

  it('ends an expired connection after its next response', async () => {
    peer.write(requestOf('/1'));
    (await take(1)).end('a');
    await waitFor(() => countResponses() === 1);
    connections.expireOpen();
    peer.write(requestOf('/2'));
    (await take(2)).end('b');
    await once(peer, 'end');
    expect(countResponses()).toEqual(2);
    expect(received.match(/connection: close/gi)?.length).toEqual(1);
  });

  describe('requests sent without waiting for responses', () => {
    const paths = (from: number, to: number) =>
      Array.from({length: to - from + 1}, (_, i) => `/${from + i}`);

    it('are served one after another, in order', async () => {
      peer.write(paths(1, 3).map(requestOf).join(''));
      for (const count of [1, 2, 3]) {
        const response = await take(count);
        await sleep(20);
        expect(taken.map(({path}) => path)).toEqual(paths(1, count));
        response.end(`body ${count}`);
      }
      await waitFor(() => countResponses() === 3);
      expect(received.match(/body \d/g)).toEqual([
        'body 1',
        'body 2',
        'body 3',
      ]);
      expect(received.match(/connection: close/gi)).toEqual(null);
    });

    it('are served with their bodies, whatever their methods', async () => {
      const post = (path: string) =>
        `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nrest`;
      peer.write(
        post('/1') + requestOf('/2').replace('GET', 'HEAD') + post('/3'),
      );
      (await take(1)).end('a');
      (await take(2)).end('b');
      const third = await take(3);
      let body = '';
      third.req.on('data', (bytes: Buffer) => (body += bytes.toString()));
      await once(third.req, 'end');
      third.end('c');
      await waitFor(() => countResponses() === 3);
      expect(body).toEqual('rest');
    });

    it('are never run beyond eight that wait, and the last response tells', async () => {
      peer.write(paths(1, 40).map(requestOf).join(''));
      for (let count = 1; count <= 9; count++) (await take(count)).end('a');
      await once(peer, 'end');
      expect(countResponses()).toEqual(9);
      expect(taken.map(({path}) => path)).toEqual(paths(1, 9));
      expect(received.match(/connection: close/gi)?.length).toEqual(1);
      expect(received.indexOf('close') > received.lastIndexOf('HTTP/')).toEqual(
        true,
      );
      expect(unanswerable).toEqual(paths(10, 40));
    });

    it('are answered up to those that wait if thousands arrive at once, then their connection ends', async () => {
      peer.write(paths(1, 1_500).map(requestOf).join(''));
      const first = await take(1);
      await sleep(50);
      expect(ends.map(({reason}) => reason)).toEqual([]);
      expect(unanswerable.length).toBeLessThanOrEqual(40);
      first.end('a');
      for (let count = 2; count <= 9; count++) (await take(count)).end('a');
      await once(peer, 'end');
      expect(countResponses()).toEqual(9);
      expect(received.match(/connection: close/gi)?.length).toEqual(1);
      expect(received.indexOf('close') > received.lastIndexOf('HTTP/')).toEqual(
        true,
      );
      await waitFor(() => ends.length > 0);
      expect(ends[0].reason).toEqual('overrun');
      expect(taken.length).toEqual(9);
      expect(unanswerable.length).toBeLessThanOrEqual(40);
    });

    it('let their connection settle only once its peer had time to read, if thousands arrive', async () => {
      peer.write(paths(1, 1_500).map(requestOf).join(''));
      for (let count = 1; count <= 9; count++) (await take(count)).end('a');
      await once(peer, 'end');
      expect(connections.isSettled).toEqual(false);
      peer.end();
      await waitFor(() => ends.length > 0);
      expect(connections.isSettled).toEqual(true);
    });

    it('do not wait with bodies that together exceed the buffer', async () => {
      const post = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n`;
      const body = 'b'.repeat(9_000);
      peer.write(requestOf('/1') + post + body + post + body);
      await waitFor(() => unanswerable.length > 0);
      expect(connections.openResponses().length).toEqual(2);
    });

    it('are not parsed beyond those, however many follow', async () => {
      peer.write(paths(1, 10).map(requestOf).join(''));
      await waitFor(() => unanswerable.length > 0);
      const dropped = unanswerable.length;
      peer.write(paths(11, 1_000).map(requestOf).join(''));
      await sleep(50);
      expect(unanswerable.length).toEqual(dropped);
      for (let count = 1; count <= 9; count++) (await take(count)).end('a');
      await once(peer, 'end');
      expect(countResponses()).toEqual(9);
    });

    it('do not wait with a body that would keep the peer from being read', async () => {
      peer.write(requestOf('/1'));
      const first = await take(1);
      peer.write(
        `POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n`,
      );
      peer.write(Buffer.alloc(900_000));
      await waitFor(() => unanswerable.length > 0);
      peer.resetAndDestroy();
      await waitFor(() => ends.length > 0);
      expect(first.destroyed).toEqual(true);
      expect(unanswerable).toEqual(['/2']);
      expect(taken.length).toEqual(1);
    });

    it('are not begun after their peer has left', async () => {
      peer.write(paths(1, 3).map(requestOf).join(''));
      const first = await take(1);
      let closes = 0;
      first.once('close', () => closes++);
      peer.resetAndDestroy();
      await waitFor(() => ends.length > 0);
      await sleep(20);
      expect(closes).toEqual(1);
      expect(taken.length).toEqual(1);
    });

    it('see the close of their own response when the peer leaves', async () => {
      peer.write(paths(1, 3).map(requestOf).join(''));
      (await take(1)).end('a');
      const second = await take(2);
      const closed = once(second, 'close');
      peer.resetAndDestroy();
      await closed;
    });

    const refusals = [
      {name: 'a host', line: 'A: h', status: 400},
      {name: 'a known expectation', line: 'Host: h\r\nExpect: x', status: 417},
    ];
    for (const {name, line, status} of refusals) {
      it(`are refused in their order without ${name}`, async () => {
        peer.write(requestOf('/1') + requestOf('/2').replace('Host: h', line));
        peer.write(requestOf('/3'));
        const first = await take(1);
        await sleep(20);
        first.end('a');
        await once(peer, 'end');
        expect(received.match(/(?<=HTTP\/1\.1 )\d+/g)).toEqual([
          '200',
          String(status),
        ]);
        expect(taken.length).toEqual(1);
      });
    }
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
