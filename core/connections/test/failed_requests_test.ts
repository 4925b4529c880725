import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createInputBoundary,
  manageConnections,
  type RequestHandler,
} from '../src/index.js';

const HOST = '127.0.0.1';

const HANDLERS: Readonly<Record<string, RequestHandler>> = {
  '/throws': () => {
    throw new Error('thrown');
  },
  '/rejects': () => Promise.reject(new Error('rejected')),
  '/breaks': (_request, response) => {
    response.writeHead(200, {'Content-Length': 5}).write('a');
    throw new Error('broken');
  },
  '/sound': (_request, response) => void response.end('sound'),
};

describe('a server whose handler fails', () => {
  let server: Server;
  let reasons: string[];

  beforeEach(async () => {
    const ownReasons: string[] = (reasons = []);
    server = createServer();
    manageConnections(server, {
      handler: (request, response) =>
        HANDLERS[request.url ?? ''](request, response),
      boundary: createInputBoundary({
        logger: {
          info: () => undefined,
          warn: () => undefined,
          error: (_event, fields) =>
            ownReasons.push((fields as {reason: string}).reason),
        },
      }),
    });
    server.listen(0, HOST);
    await once(server, 'listening');
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Sends requests on one connection; resolves with what came back until its end. */
  async function send(...paths: string[]): Promise<string> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, HOST);
    let received = '';
    socket.on('data', bytes => (received += bytes.toString()));
    socket.on('error', () => undefined);
    for (const path of paths) {
      const isLast = path === paths.at(-1);
      socket.write(
        `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n` +
          `${isLast ? 'Connection: close\r\n' : ''}\r\nab`,
      );
    }
    await once(socket, 'close');
    return received;
  }

  for (const path of ['/throws', '/rejects']) {
    it(`answers 500 and serves the next request of the connection when the handler of ${path} fails`, async () => {
      const received = await send(path, '/sound');
      expect(received.match(/HTTP\/1\.1 \d+/g)).toEqual([
        'HTTP/1.1 500',
        'HTTP/1.1 200',
      ]);
      expect(reasons.length).toEqual(1);
    });
  }

  it('breaks off a response that had begun', async () => {
    const received = await send('/breaks');
    expect(received.endsWith('abcde')).toEqual(false);
    expect(reasons.length).toEqual(1);
    expect(await send('/sound')).toMatchRegex(/sound$/);
  });

  it('survives that the operating system fails to accept connections, again and again', async () => {
    server.emit('error', new Error('accept ENFILE'));
    server.emit('error', new Error('accept ENFILE'));
    expect(reasons.length).toEqual(2);
    expect(await send('/sound')).toMatchRegex(/sound$/);
  });
});
