import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {startAttempt, type AttemptFailure} from '../src/calls/attempt.js';
import {createResponseReceipt} from '../src/calls/response_receipt.js';
import {createConnectionPool} from '../src/upstreams/connection_pool.js';

describe('an attempt that waits for its connection', () => {
  let server: Server;
  let received = 0;
  before(async () => {
    server = createServer((_request, response) => {
      received++;
      response.end();
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  after(() => server.close());

  /** Starts an attempt; `blocker` is read when the request is about to be sent. */
  const run = (blocker: {reason?: string}) =>
    new Promise<AttemptFailure | 'ended'>((resolve, reject) => {
      const {port} = server.address() as AddressInfo;
      const pool = createConnectionPool(createSystemClock(), () => undefined);
      const connection = pool.acquire(`127.0.0.1:${port}`, 1, true)!;
      const request = {
        method: 'GET',
        path: '/',
        headers: [],
        body: null,
        findSendBlocker: () => blocker.reason,
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
          onEnd() {
            connection.destroy();
            resolve('ended');
          },
          onFailure: resolve,
          onError: reject,
        },
      );
    });

  it('is sent if nothing speaks against it', async () => {
    expect(await run({})).toEqual('ended');
    expect(received).toEqual(1);
  });

  it('is not sent if its placement no longer holds when the connection is open', async () => {
    const blocker: {reason?: string} = {};
    const outcome = run(blocker);
    blocker.reason = 'zone a is out of service';
    expect(await outcome).toEqual({
      isSent: false,
      isBlocked: true,
      isConnectionLost: false,
      reason: 'zone a is out of service',
    });
    expect(received).toEqual(1);
  });
});
