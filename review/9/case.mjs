// Engines that begin a body without a length and repeat status lines in it without end.
import {playUnanswered} from '../unanswered-2.mjs';

const STATUS_LINES = 'HTTP/1.1 200 OK\r\n'.repeat(200);

await playUnanswered(import.meta.url, {
  createStart: headers =>
    'HTTP/1.1 200 OK\r\n' +
    `Request-Id: ${headers['request-id']}\r\n` +
    `Response-Stamp: ${headers['response-stamp']}\r\n\r\n`,
  block: Buffer.from(`${STATUS_LINES}\r\n\r\n`.repeat(19)),
});
