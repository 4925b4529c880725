import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {buildConnector, Client} from 'undici';
import {RESET_BY_UPSTREAM_CODE, withReliableEnds} from '../src/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

describe('a response without a length', {timeout: 20_000}, () => {
  let server: Server;
  let client: Client;
  let bodyBytes = 0;
  let end: (socket: Socket) => void;
  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(HEAD + 'x'.repeat(bodyBytes));
        end(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    client = new Client(`http://127.0.0.1:${port}`, {
      connect: withReliableEnds(
        buildConnector({timeout: 1_000, allowHalfOpen: true}),
      ),
    });
  });
  after(async () => {
    await client.destroy();
    server.close();
  });

  /** Reads a response after a pause; resolves with its size, or the code of its error. */
  const read = async (pauseMs = 0): Promise<number | string | undefined> => {
    try {
      const {body} = await client.request({method: 'GET', path: '/'});
      await sleep(pauseMs);
      return (await body.text()).length;
    } catch (error) {
      return (error as NodeJS.ErrnoException).code;
    }
  };

  // The third size fills one read of libuv, which then reports the reset itself.
  for (const size of [0, 1_000, 65_536 - HEAD.length, 200_000]) {
    describe(`of ${size} bytes`, () => {
      before(() => {
        bodyBytes = size;
      });

      it('is complete after an end in order', async () => {
        end = socket => socket.end();
        for (let i = 0; i < 20; i++) expect(await read()).toEqual(size);
      });

      it('is complete after an end in order while it was not read', async () => {
        end = socket => socket.end();
        expect(await read(30)).toEqual(size);
      });

      it('fails after a reset beside its last bytes', async () => {
        end = socket => socket.resetAndDestroy();
        for (let i = 0; i < 20; i++) {
          expect(await read()).toEqual(RESET_BY_UPSTREAM_CODE);
        }
      });

      it('fails after a reset while it was not read', async () => {
        end = socket => setTimeout(() => socket.resetAndDestroy(), 5);
        expect(await read(30)).toEqual(RESET_BY_UPSTREAM_CODE);
      });
    });
  }
});
