import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createInputPacer,
  type PacedConnection,
} from '@sardinestile/connections';
import {expect} from 'earl';
import {buildConnector, Client} from 'undici';
import {
  MAX_BYTES_WITHOUT_PROGRESS,
  NO_PROGRESS_CODE,
  withPacedResponses,
  withReliableEnds,
  type PacedResponsesOptions,
  type ResponseProgress,
} from '../src/index.js';

/** Bytes that one read of the event loop and the system's buffers may add to a bound. */
const READ_AHEAD_BYTES = 4 * 65_536;

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const INTERIM = 'HTTP/1.1 103 Early Hints\r\n\r\n';

describe('responses whose input is paced', {timeout: 30_000}, () => {
  let server: Server;
  let respond: (socket: Socket) => void;
  let client: Client;
  let connected: Socket;
  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  after(() => server.close());
  afterEach(() => client.destroy());

  let progress: ResponseProgress;
  const open = (options: PacedResponsesOptions = {}) => {
    const {port} = server.address() as AddressInfo;
    client = new Client(`http://127.0.0.1:${port}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: withPacedResponses(
        withReliableEnds(buildConnector({timeout: 1_000, allowHalfOpen: true})),
        {
          ...options,
          onConnected(socket, socketProgress) {
            connected = socket;
            progress = socketProgress;
          },
        },
      ),
    });
  };
  /** Sends a request; resolves with the size of its body, or the code of its error. */
  const receive = (onData: () => void = () => undefined) =>
    new Promise<number | string>(resolve => {
      let bodyBytes = 0;
      client.dispatch(
        {method: 'GET', path: '/'},
        {
          onRequestStart: () => progress.record(),
          onResponseStart(_controller, status) {
            if (status >= 200) progress.record();
          },
          onResponseData(_controller, chunk) {
            progress.record();
            bodyBytes += chunk.length;
            onData();
          },
          onResponseEnd: () => resolve(bodyBytes),
          onResponseError: (_controller, error) =>
            resolve((error as NodeJS.ErrnoException).code ?? error.message),
        },
      );
    });
  const sendWithoutEnd = (start: string, repeated: string) => {
    const block = repeated.repeat(Math.ceil(16_384 / repeated.length));
    respond = socket => {
      socket.write(start);
      const writeMore = () => {
        if (socket.destroyed) return;
        if (socket.write(block)) setImmediate(writeMore);
        else socket.once('drain', writeMore);
      };
      writeMore();
    };
  };

  describe('bytes without end that are no part of a response', () => {
    beforeEach(() => open());

    for (const [name, start, repeated] of [
      ['interim responses', '', INTERIM],
      [
        'interim responses with long heads',
        '',
        INTERIM.replace('\r\n\r\n', `\r\nx: ${'y'.repeat(9_000)}\r\n\r\n`),
      ],
      ['empty lines before a response', '', '\r\n'],
      ['extensions of a chunk', `${CHUNKED}4;`, 'x'],
      ['digits of the size of a chunk', CHUNKED, '0'],
    ]) {
      it(`${name}: end their connection`, async () => {
        sendWithoutEnd(start, repeated);
        expect(await receive()).toEqual(NO_PROGRESS_CODE);
        expect(connected.bytesRead).toBeLessThan(
          MAX_BYTES_WITHOUT_PROGRESS + READ_AHEAD_BYTES,
        );
      });
    }

    it('empty lines on an idle connection end it', async () => {
      respond = socket =>
        socket.write(`${HEAD}content-length: 0\r\n\r\n`, () =>
          setTimeout(() => {
            sendWithoutEnd('', '\r\n');
            respond(socket);
          }, 20),
        );
      expect(await receive()).toEqual(0);
      const startMs = performance.now();
      while (!connected.destroyed) {
        expect(performance.now() - startMs).toBeLessThan(5_000);
        await sleep(5);
      }
    });
  });

  describe('sound responses', () => {
    beforeEach(() => open());

    for (const [name, bytes, bodyBytes] of [
      [
        'many interim responses',
        INTERIM.repeat(1_000) + `${HEAD}content-length: 2\r\n\r\nok`,
        2,
      ],
      [
        'a long head',
        `${HEAD}x: ${'y'.repeat(15_000)}\r\ncontent-length: 2\r\n\r\nok`,
        2,
      ],
      [
        'chunks of one byte',
        CHUNKED + '1\r\nx\r\n'.repeat(20_000) + '0\r\n\r\n',
        20_000,
      ],
      [
        'chunks with extensions',
        CHUNKED + '1;a=b\r\nx\r\n'.repeat(20_000) + '0\r\n\r\n',
        20_000,
      ],
      [
        'a large body',
        `${HEAD}content-length: 20000000\r\n\r\n${'x'.repeat(20_000_000)}`,
        20_000_000,
      ],
    ] as const) {
      it(`${name}: arrive whole`, async () => {
        respond = socket => socket.write(bytes);
        expect(await receive()).toEqual(bodyBytes);
      });
    }

    it('that end with their connection arrive whole', async () => {
      respond = socket => socket.end(`${HEAD}\r\n${'x'.repeat(300_000)}`);
      expect(await receive()).toEqual(300_000);
    });
  });

  describe('that wait for turns', () => {
    let waiting: PacedConnection | undefined;
    let turns = 0;
    beforeEach(() => {
      waiting = undefined;
      turns = 0;
      open({
        pacer: {
          open: connection => ({
            mustWait: () => true,
            recordUse: () => undefined,
            wait: () => (waiting = connection),
            leave: () => (waiting = undefined),
          }),
          usage: createInputPacer().usage,
        },
      });
    });
    const takeTurns = async (isOver: () => boolean) => {
      while (!isOver()) {
        if (waiting) turns++;
        waiting?.parseNext();
        await new Promise(setImmediate);
      }
    };

    it('are parsed a slice at a time, to an end in order', async () => {
      respond = socket => socket.end(`${HEAD}\r\n${'x'.repeat(300_000)}`);
      let bodyBytes: number | string | undefined;
      void receive().then(result => (bodyBytes = result));
      await takeTurns(() => bodyBytes !== undefined);
      expect(bodyBytes).toEqual(300_000);
      expect(turns).toBeGreaterThanOrEqual(300_000 / 65_536);
    });

    it('are not parsed before their turn', async () => {
      respond = socket => socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
      let bodyBytes: number | string | undefined;
      void receive().then(result => (bodyBytes = result));
      await sleep(50);
      expect(bodyBytes).toEqual(undefined);
      expect(waiting!.waitingBytes).toBeGreaterThan(0);
      await takeTurns(() => bodyBytes !== undefined);
      expect(bodyBytes).toEqual(2);
    });

    // Guards against turns that are spent on connections of which nobody reads the rest.
    it('give up their turn, unparsed, once their connection is destroyed', async () => {
      respond = socket => socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
      void receive();
      while (!waiting) await new Promise(setImmediate);
      const connection = waiting;
      const isWaiting = () => waiting !== undefined;
      let isParsed = false;
      connected.once('readable', () => (isParsed = true));
      connected.destroy();
      connection.parseNext();
      expect(isWaiting()).toEqual(false);
      expect(isParsed).toEqual(false);
    });
  });

  // Guards against upstreams whose bytes keep the event loop from everything else.
  it('that are costly leave time between their parts', async () => {
    open();
    respond = socket => socket.write(CHUNKED + '1\r\nx\r\n'.repeat(2_000));
    let parts = 0;
    let mostBetweenPolls = 0;
    let partsAtPoll = 0;
    void receive(() => {
      parts++;
      const endMs = performance.now() + 1;
      while (performance.now() < endMs);
    });
    while (parts < 1_000) {
      await new Promise(setImmediate);
      mostBetweenPolls = Math.max(mostBetweenPolls, parts - partsAtPoll);
      partsAtPoll = parts;
    }
    // The first slice is parsed before its cost is known.
    expect(mostBetweenPolls).toBeLessThan(2 * (2_048 / 6));
  });
});
