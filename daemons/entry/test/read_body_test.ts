import {once} from 'node:events';
import {request as sendRequest} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startHttpServer, type HttpServer} from '@sardinestile/http';
import {createBufferCollector} from '@sardinestile/memory';
import {expect} from 'earl';
import {H3} from 'h3';
import {createBodyBudget, type BodyBudget} from '../src/body_budget.js';
import {readLimitedBody} from '../src/read_body.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 1_000_000;
const BUDGET_BYTES = 400_000;

/** Time in which a server notices that a client has left, in milliseconds. */
const LEAVE_MS = 200;

describe('readLimitedBody', () => {
  let server: HttpServer;
  let budget: BodyBudget;
  let bodies: Buffer[];
  let failures: Error[];

  beforeEach(async () => {
    budget = createBodyBudget(BUDGET_BYTES);
    bodies = [];
    failures = [];
    const app = new H3().post('/', async ({req}) => {
      const account = budget.open();
      const result = await readLimitedBody(req, {
        maxBytes: MAX_BODY_BYTES,
        account,
        bufferCollector: createBufferCollector(),
      }).catch((error: Error) => {
        failures.push(error);
        throw error;
      });
      if (result.isErr()) return result.error;
      bodies.push(Buffer.from(result.value));
      return String(budget.heldBytes);
    });
    server = await startHttpServer({app, host: HOST, port: 0});
  });
  afterEach(() => server.destroy());

  /** Sends a body, in chunks if its size is not stated; returns the answer and whether it was sent whole. */
  const send = async (body: Buffer, isSizeStated: boolean) => {
    const request = sendRequest({
      port: server.port,
      host: HOST,
      method: 'POST',
      headers: isSizeStated ? {'Content-Length': body.length} : {},
    });
    request.write(body.subarray(0, body.length / 3));
    request.end(body.subarray(body.length / 3));
    const [response] = (await once(request, 'response')) as [
      AsyncIterable<Buffer>,
    ];
    let answer = '';
    for await (const bytes of response) answer += bytes.toString();
    return {answer, isSentWhole: request.writableFinished};
  };

  it('writes no stack to standard error when the caller leaves', async () => {
    const write = mock.method(console, 'error', () => undefined);
    try {
      const socket = connect(server.port, HOST);
      socket.write(
        'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\npart',
      );
      await once(socket, 'connect');
      await sleep(LEAVE_MS);
      socket.resetAndDestroy();
      await sleep(LEAVE_MS);
      expect(failures.length).toEqual(1);
      expect(write.mock.callCount()).toEqual(0);
    } finally {
      write.mock.restore();
    }
  });

  for (const isSizeStated of [true, false]) {
    describe(`with${isSizeStated ? '' : 'out'} a stated size`, () => {
      it('returns all bytes, and counts what holds them', async () => {
        const body = Buffer.from(
          Array.from({length: 200_000}, (_, i) => i % 251),
        );
        const {answer} = await send(body, isSizeStated);
        expect(bodies.length).toEqual(1);
        expect(bodies[0].equals(body)).toEqual(true);
        expect(Number(answer)).toBeGreaterThanOrEqual(body.length);
        expect(Number(answer)).toBeLessThan(2 * body.length);
      });

      it('returns an empty body', async () => {
        await send(Buffer.alloc(0), isSizeStated);
        expect(bodies.map(({length}) => length)).toEqual([0]);
      });

      it('lets a caller for whose body there is no room read the refusal', async () => {
        const sent = await send(Buffer.alloc(900_000, 'b'), isSizeStated);
        expect(sent).toEqual({answer: 'memory_short', isSentWhole: true});
      });
    });
  }
});
