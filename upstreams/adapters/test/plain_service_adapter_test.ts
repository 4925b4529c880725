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

describe('a plain service whose response has no length', () => {
  let server: Server;
  let adapter: UpstreamAdapter;
  let end: (socket: Socket) => void;
  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(20_000)}`);
        end(socket);
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
  const run = async () => {
    const request = {
      method: 'POST',
      path: '/',
      headers: [],
      body: new Uint8Array(),
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

  itOrKnownRed('ends when its connection is closed in order', async () => {
    end = socket => socket.end();
    expect(await run()).toEqual('end');
  });

  itOrKnownRed(
    'fails when its connection is reset beside the last bytes',
    async () => {
      end = socket => socket.resetAndDestroy();
      expect(await run()).toEqual('partial');
    },
  );
});
