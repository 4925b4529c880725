import {once} from 'node:events';
import {connect} from 'node:net';
import {describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startHttpServer} from '@sardinestile/http';
import {expect} from 'earl';
import {H3} from 'h3';
import {readLimitedBody} from '../src/read_body.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 1_000;

/** Time in which a server notices that a client has left, in milliseconds. */
const LEAVE_MS = 200;

describe('readLimitedBody', () => {
  it('writes no stack to standard error when the caller leaves', async () => {
    const failures: Error[] = [];
    const app = new H3().post('/', async ({req}) => {
      await readLimitedBody(req, MAX_BODY_BYTES).catch((error: Error) => {
        failures.push(error);
        throw error;
      });
    });
    const server = await startHttpServer({app, host: HOST, port: 0});
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
      server.destroy();
    }
  });
});
