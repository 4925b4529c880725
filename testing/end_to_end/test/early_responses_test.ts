import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, before, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  waitUntil,
  type TestCluster,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];

/** Size of a request's body, close to the default limit, in bytes. */
const UPLOAD_BYTES = 3_900_000;

/** Time after the last byte at which the connection is reset, in milliseconds. */
const RESET_DELAYS_MS = [0, 60];

const PART = 'x'.repeat(28_000);

/** Beginnings of responses that end before their body does. */
const BEGINNINGS = {
  'without a length': `\r\n${PART}`,
  'with a length': `content-length: 40000\r\n\r\n${PART}`,
  'in chunks': `transfer-encoding: chunked\r\n\r\n${PART.length.toString(16)}\r\n${PART}\r\n`,
};

// Guards against parts of responses that callers of an entry take for whole ones.
describe('responses of a plain service, passed on by an agent and an entry', () => {
  let server: Server;
  let cluster: TestCluster;
  let respond: (socket: Socket) => void;
  let unread = 0;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        if (socket.bytesRead < UPLOAD_BYTES) unread++;
        respond(socket);
      });
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    cluster = await startDeployment(DEPLOYMENT, {
      plainServicePort: (server.address() as AddressInfo).port,
    });
  });
  after(async () => {
    await cluster.stop();
    server.close();
  });

  /** Uploads through an entry; returns the status, and the body if it is whole. */
  const upload = async (entryIndex: number) => {
    const {process} = entriesOf(cluster)[entryIndex];
    const secret = cluster.secrets.get(DEPLOYMENT.organisation)!;
    const {statusCode, body} = await request(
      `http://${process.address}${DEPLOYMENT.bookingPath}`,
      {
        method: 'POST',
        headers: {authorization: `Bearer ${secret}`},
        body: 'u'.repeat(UPLOAD_BYTES),
      },
    );
    const text = await body.text().catch(() => undefined);
    return {status: statusCode, text};
  };

  const respondWhole = (socket: Socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n\r\n${PART}`);

  // Entries send nothing for some time to a service whose requests fail.
  beforeEach(async () => {
    respond = respondWhole;
    for (const entryIndex of [0, 1]) {
      await waitUntil(async () => (await upload(entryIndex)).status === 200);
    }
  });

  for (const [framing, beginning] of Object.entries(BEGINNINGS)) {
    for (const delayMs of RESET_DELAYS_MS) {
      it(`${framing}: do not look whole after a reset ${delayMs} ms later`, async () => {
        respond = socket =>
          socket.write(`HTTP/1.1 200 OK\r\n${beginning}`, () =>
            setTimeout(() => socket.resetAndDestroy(), delayMs),
          );
        const unreadBefore = unread;
        for (const entryIndex of [0, 1]) {
          const {status, text} = await upload(entryIndex);
          expect(status < 300 && text !== undefined).toEqual(false);
        }
        expect(unread).toEqual(unreadBefore + 2);
      });
    }
  }

  it('are passed on whole when they end in order', async () => {
    respond = respondWhole;
    for (const entryIndex of [0, 1]) {
      expect(await upload(entryIndex)).toEqual({status: 200, text: PART});
    }
  });

  for (const status of ['000', '099', '600', '999']) {
    it(`are refused with the status ${status}`, async () => {
      respond = socket =>
        socket.end(`HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nok`);
      const response = await upload(0);
      expect(response.status).toEqual(502);
    });
  }
});
