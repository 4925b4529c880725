import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, before, describe} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {
  createPlainServiceAdapter,
  UpstreamError,
  type UpstreamAdapter,
} from '../src/index.js';

/** Size of a request's body, which the systems' buffers do not hold. */
const UPLOAD_BYTES = 12 * 1_048_576;

describe('a plain service', () => {
  let server: Server;
  let adapter: UpstreamAdapter;
  let respond: (socket: Socket) => void;
  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        respond(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    adapter = createPlainServiceAdapter({baseUrl: `http://127.0.0.1:${port}`});
  });
  after(async () => {
    await adapter.close();
    server.close();
  });

  /** Runs a request; resolves with the kind of its last event, or how it failed. */
  const run = async (bodyBytes = 0) => {
    const request = {
      method: 'POST',
      path: '/',
      headers: [],
      body: new Uint8Array(bodyBytes),
      priority: 0,
      resumeText: '',
      resumeTokens: 0,
    };
    let last = 'nothing';
    try {
      const {signal} = new AbortController();
      for await (const {kind} of adapter.run(request, signal)) last = kind;
      return last;
    } catch (error) {
      return error instanceof UpstreamError ? error.outcome : String(error);
    }
  };

  describe('whose response has no length', () => {
    const respondAndEnd = (end: (socket: Socket) => void) => {
      respond = socket => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(20_000)}`);
        end(socket);
      };
    };

    itOrKnownRed('ends when its connection is closed in order', async () => {
      respondAndEnd(socket => socket.end());
      expect(await run()).toEqual('end');
    });

    itOrKnownRed(
      'fails when its connection is reset beside the last bytes',
      async () => {
        respondAndEnd(socket => socket.resetAndDestroy());
        expect(await run()).toEqual('partial');
      },
    );

    itOrKnownRed(
      'fails when its connection is reset while the request is being written',
      async () => {
        respondAndEnd(socket => setTimeout(() => socket.resetAndDestroy(), 50));
        expect(await run(UPLOAD_BYTES)).toEqual('partial');
      },
    );
  });

  for (const status of ['000', '099', '600', '999']) {
    itOrKnownRed(`fails when its status is ${status}`, async () => {
      respond = socket =>
        socket.end(`HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nok`);
      expect(await run()).toEqual('unknown_outcome');
    });
  }
});
