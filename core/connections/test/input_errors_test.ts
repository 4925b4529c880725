import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {MANAGED_SERVER_OPTIONS, manageConnections} from '../src/index.js';

const HOST = '127.0.0.1';

/** Time limits for receiving headers and a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 150;
const REQUEST_TIMEOUT_MS = 300;
const TIMEOUT_CHECK_MS = 20;

/** Time that a handler takes, beyond all time limits, in milliseconds. */
const SERVICE_MS = 600;

/** Time within which a connection ends that the server ends, in milliseconds. */
const END_LIMIT_MS = 3_000;

const JUNK = '\x01\x02 junk\r\n\r\n';
const PART = 'GET /part HTTP/1.1\r\nHo';
const PART_OF_BODY =
  'POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbo';

function requestOf(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

describe('input that node:http refuses', () => {
  let server: Server;
  let peer: Socket;
  let served: string[];
  let left: string[];
  let received: string;

  beforeEach(async () => {
    const ownServed: string[] = (served = []);
    const ownLeft: string[] = (left = []);
    received = '';
    server = createServer({
      ...MANAGED_SERVER_OPTIONS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    });
    manageConnections(server, {
      async handler(request, response) {
        const {url = ''} = request;
        ownServed.push(url);
        response.once('close', () => {
          if (!response.writableFinished) ownLeft.push(url);
        });
        if (url === '/begun') response.write('be');
        if (ownServed.length === 1) await sleep(SERVICE_MS);
        response.end('gun');
      },
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    peer = connect({host: HOST, port, noDelay: true});
    peer.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    peer.on('error', () => undefined);
    await once(peer, 'connect');
  });
  afterEach(() => {
    peer.destroy();
    server.closeAllConnections();
    server.close();
  });

  /** Sends pieces one after another; resolves with the statuses until the connection ends. */
  const send = async (...pieces: string[]) => {
    const limit = new AbortController();
    const isEnded = Promise.race([
      once(peer, 'close').then(() => true),
      sleep(END_LIMIT_MS, false, {signal: limit.signal}),
    ]);
    for (const piece of pieces) {
      peer.write(piece);
      await sleep(10);
    }
    expect(await isEnded).toEqual(true);
    limit.abort();
    return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code);
  };
  const announcements = () =>
    [...received.matchAll(/connection: close/gi)].length;

  const kinds = {
    junk: JUNK,
    'a part of headers that does not go on': PART,
    'a part of a body that does not go on': PART_OF_BODY,
  };
  for (const [kind, input] of Object.entries(kinds)) {
    describe(`that is ${kind}`, () => {
      it('ends the connection after the response of the request before it', async () => {
        expect(await send(requestOf('/1') + input)).toEqual(['200']);
        expect(announcements()).toEqual(1);
        expect(served).toEqual(['/1']);
      });

      it('ends it after all responses of requests that wait', async () => {
        const requests = ['/1', '/2', '/3'].map(requestOf).join('');
        expect(await send(requests, input)).toEqual(['200', '200', '200']);
        expect(announcements()).toEqual(1);
        expect(received.endsWith('gun')).toEqual(true);
      });

      it('does not hide that the peer leaves', async () => {
        peer.write(requestOf('/1') + input);
        await sleep(REQUEST_TIMEOUT_MS + 100);
        peer.end();
        await sleep(100);
        expect(left).toEqual(['/1']);
        expect(received.includes(' 200 ')).toEqual(false);
      });

      it('leaves a response whole that had begun', async () => {
        expect(await send(requestOf('/begun'), input)).toEqual(['200']);
        expect(received).toMatchRegex(/be\r\n3\r\ngun\r\n0\r\n\r\n$/);
      });
    });
  }

  it('leaves the responses of requests before those that are dropped', async () => {
    const requests = Array.from({length: 12}, () => requestOf('/')).join('');
    const statuses = await send(requests + PART);
    expect(statuses).toEqual(Array.from({length: 9}, () => '200'));
  });

  const alone = [
    {name: 'junk', input: JUNK, status: '400'},
    {
      name: 'too many headers',
      input: `GET / HTTP/1.1\r\nA: ${'a'.repeat(17_000)}\r\n`,
      status: '431',
    },
    {name: 'a part of headers', input: PART, status: '408'},
    {name: 'a part of a body', input: PART_OF_BODY, status: '408'},
  ];
  for (const {name, input, status} of alone) {
    it(`is answered with ${status} if it is ${name} alone`, async () => {
      expect(await send(input)).toEqual([status]);
    });
  }
});
