import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {startAttempt} from '../src/calls/attempt.js';
import {createResponseReceipt} from '../src/calls/response_receipt.js';
import {createConnectionPool} from '../src/upstreams/connection_pool.js';

const BODY_BYTES = 70_000;

describe('an attempt that does not read when its response ends', () => {
  it(
    'has the whole response once it reads again',
    {timeout: 5_000},
    async () => {
      const server = createServer(socket =>
        socket.once('data', () =>
          socket.end(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(BODY_BYTES)}`),
        ),
      );
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const {port} = server.address() as AddressInfo;
      const pool = createConnectionPool(createSystemClock(), () => undefined);
      const connection = pool.acquire(`127.0.0.1:${port}`, 1, true)!;
      const request = {
        method: 'GET',
        path: '/',
        headers: [],
        body: null,
        findSendBlocker: () => undefined,
      };
      const receipt = createResponseReceipt({
        requestId: '',
        readRequestId: () => undefined,
      });
      await new Promise<void>((resolve, reject) => {
        const attempt = startAttempt({connection, receipt}, request, {
          onHeaders: () => undefined,
          onData() {
            attempt.pause();
            setTimeout(() => attempt.resume(), 30);
          },
          onEnd: resolve,
          onFailure: ({reason}) => reject(new Error(reason)),
          onError: reject,
        });
      });
      server.close();
      expect(receipt.bodyBytes).toEqual(BODY_BYTES);
    },
  );
});
