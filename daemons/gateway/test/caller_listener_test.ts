import {connect} from 'node:net';
import {describe} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {startCallerListener} from '../src/calls/caller_listener.js';

const HOST = '127.0.0.1';
const PORT = 27_431;
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

describe('a listener that drains', () => {
  itOrKnownRed(
    'delivers a response that the handler has ended and the caller reads late',
    async () => {
      const bodyBytes = 16_000_000;
      const listener = await startCallerListener({
        host: HOST,
        port: PORT,
        maxHeaderBytes: 16_384,
        handler(_request, response) {
          response.setHeader('Content-Length', bodyBytes);
          response.end(Buffer.alloc(bodyBytes));
          return Promise.resolve();
        },
        onConnectionEnded: () => undefined,
        onUnanswerable: () => undefined,
      });
      const socket = connect(PORT, HOST);
      let receivedBytes = 0;
      socket.on('data', (bytes: Buffer) => (receivedBytes += bytes.length));
      socket.on('error', () => undefined);
      const closed = new Promise(resolve => socket.once('close', resolve));
      socket.write(REQUEST);
      await new Promise(resolve => socket.once('readable', resolve));
      socket.pause();
      const drained = listener.drain(7_500, performance.now());
      // Idle connections are closed from three seconds after the start of the drain on.
      await new Promise(resolve => setTimeout(resolve, 3_500));
      socket.resume();
      await Promise.all([drained, closed]);
      listener.close();
      expect(receivedBytes > bodyBytes).toEqual(true);
    },
  );
});
