import fc from 'fast-check';

/** Length of header values that exceed every limit, in characters. */
const EXCESSIVE_LENGTH = 70_000;

const ODD_NUMBERS = [
  ...['-1', '0', '1e308', 'NaN', '', '0x10', '1, 2', '99999999999999999999'],
  ...['Infinity', '9007199254740993', '5'],
];

/** Names of headers with values that a gateway may stumble over. */
const ODD_HEADERS: Readonly<Record<string, readonly string[]>> = {
  'Content-Length': [...ODD_NUMBERS, '100'],
  'Transfer-Encoding': ['chunked', 'chunked, chunked', 'gzip', ''],
  Connection: ['close', 'keep-alive', 'upgrade', 'content-length', ',;='],
  'Keep-Alive': ['timeout=-1', 'timeout=1e308', 'timeout=x', 'max=0', '='],
  'Retry-After': [...ODD_NUMBERS, 'Wed, 21 Oct 2015 07:28:00 GMT'],
  Upgrade: ['h2c'],
  'Server-Limit': ODD_NUMBERS,
  'Server-Leaving': ['1', '2', ''],
  'Cold-Ms': ODD_NUMBERS,
  'Not-Run': ['1', ''],
  'Content-Type': ['text/event-stream', '\u00ff', ''],
  'Set-Cookie': ['a=b', '\u00e9\u0080'],
  'X-Latin': ['\u00e9\u00ff\u0080'],
  'X-Long': ['x'.repeat(EXCESSIVE_LENGTH)],
  __proto__x: ['1'],
  constructor: ['1'],
  'X y': ['1'],
};

const BODIES = [
  ...['', 'done', '{}', 'id: 0\ndata: event 0\n\n', 'id: 99999999999999999\n'],
  ...['id: 0\ndata: a\n\nid: 7\ndata: b\n\n', '\n\n\n\n', ':\n\n'],
  ...['5\r\nabcde\r\n0\r\n\r\n', 'zz\r\n', '-1\r\na\r\n', '0\r\nX: y\r\n\r\n'],
  'b'.repeat(EXCESSIVE_LENGTH),
];

/** Status lines, sound ones and others. */
export const STATUS_LINES = [
  ...['HTTP/1.1 200 OK', 'HTTP/1.0 200 OK', 'HTTP/1.1 204 No', 'HTTP/1.1 304'],
  ...['HTTP/1.1 100 Continue', 'HTTP/1.1 101 Switching', 'HTTP/1.1 103 Hints'],
  ...['HTTP/1.1 99 x', 'HTTP/1.1 999 x', 'HTTP/1.1 000 x', 'HTTP/1.1 1000 x'],
  ...[
    'HTTP/1.1 503 x',
    'HTTP/1.1 429 x',
    'HTTP/1.1 421 x',
    'HTTP/1.1 500 \xff',
  ],
  ...['HTTP/2.0 200 OK', 'HTTP/1.1  ', 'ICY 200 OK', '', 'HTTP/1.1 600 x'],
];

/** A header line that a gateway may stumble over, with its end. */
export const oddHeaderLine = fc
  .constantFrom(...Object.entries(ODD_HEADERS))
  .chain(([name, values]) =>
    fc.constantFrom(...values).map(value => `${name}: ${value}\r\n`),
  );

/** Bytes that an upstream sends instead of a response to the request with an id. */
export function hostileAnswer(requestId: string): fc.Arbitrary<Buffer> {
  const ownHeaders = `Request-Id: ${requestId}\r\nResponse-Stamp: x\r\n`;
  const answer = fc
    .record({
      statusLine: fc.oneof(
        fc.constant(STATUS_LINES[0]),
        fc.constantFrom(...STATUS_LINES),
      ),
      own: fc.constantFrom(ownHeaders, ownHeaders, ''),
      headers: fc.array(oddHeaderLine, {maxLength: 4}),
      body: fc.constantFrom(...BODIES),
    })
    .map(({statusLine, own, headers, body}) =>
      Buffer.from(
        `${statusLine}\r\n${own}${headers.join('')}\r\n${body}`,
        'latin1',
      ),
    );
  const junk = fc.uint8Array({maxLength: 200}).map(bytes => Buffer.from(bytes));
  return fc.oneof(
    {weight: 8, arbitrary: answer},
    {
      weight: 1,
      arbitrary: fc.tuple(answer, answer).map(both => Buffer.concat(both)),
    },
    {weight: 1, arbitrary: junk},
  );
}
