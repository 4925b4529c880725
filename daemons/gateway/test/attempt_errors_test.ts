import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {startAttempt} from '../src/calls/attempt.js';
import {createResponseReceipt} from '../src/calls/response_receipt.js';
import {createConnectionPool} from '../src/upstreams/connection_pool.js';

/** Time within which a handler's error is passed on, in milliseconds. */
const LIMIT_MS = 1_000;

describe('an attempt whose last handler throws', () => {
  let server: Server;
  before(async () => {
    server = createServer((request, response) => {
      if (request.url === '/reset') request.socket.resetAndDestroy();
      else response.end('a');
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  after(() => server.close());

  for (const [handler, path] of [
    ['onEnd', '/'],
    ['onFailure', '/reset'],
  ]) {
    it(`passes the error of ${handler} on, once`, async () => {
      const {port} = server.address() as AddressInfo;
      const pool = createConnectionPool(createSystemClock(), () => undefined);
      const connection = pool.acquire(`127.0.0.1:${port}`, 1, true)!;
      const errors: unknown[] = [];
      const fail = () => {
        throw new Error('thrown');
      };
      const request = {
        method: 'GET',
        path,
        headers: [],
        body: null,
        findSendBlocker: () => undefined,
      };
      startAttempt(
        {
          connection,
          receipt: createResponseReceipt({
            requestId: '',
            readRequestId: () => undefined,
          }),
        },
        request,
        {
          onHeaders: () => undefined,
          onData: () => undefined,
          onEnd: fail,
          onFailure: fail,
          onError: error => errors.push(error),
        },
      );
      const endAtMs = performance.now() + LIMIT_MS;
      while (errors.length === 0 && performance.now() < endAtMs) await sleep(5);
      connection.destroy();
      await sleep(20);
      expect(errors.map(error => (error as Error).message)).toEqual(['thrown']);
    });
  }
});
