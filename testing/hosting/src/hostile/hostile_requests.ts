import fc from 'fast-check';
import {HOST, INITIAL_API_KEY, ROUTE_PATHS} from '../initial_configuration.js';

/** Most requests that a client sends on a connection without waiting for responses. */
const MAX_PIPELINED = 60;

/** Longest body of a request, in bytes, beyond what gateways accept. */
const MAX_BODY_BYTES = 120_000;

/** Length of targets and header values that exceed every limit, in characters. */
const EXCESSIVE_LENGTH = 70_000;

const METHODS = [
  ...['GET', 'POST', 'PUT', 'HEAD', 'OPTIONS', 'CONNECT', 'TRACE', 'DELETE'],
  ...['PATCH', 'M-SEARCH', 'PRI', 'BREW', 'get', ''],
];

const TARGETS = [
  ...Object.values(ROUTE_PATHS),
  ...['/', '//', '//:', '*', '', '?', '#', 'a:b', 'h:443', '/%', '/%00', '/..'],
  ...['http://[::1', 'http://h:99999/', `http://${HOST}${ROUTE_PATHS.open}`],
  ...['/api/ready', '/metrics', '/live', '/ready', '/state', '/__proto__'],
  ...['/peer/config?have=x&waitMs=1e9', '/peer/upstreams?version=-1'],
  ...['/v1/chat/completions', '/admin/v1/keys/%E0%A4%A'],
  `/${'a'.repeat(EXCESSIVE_LENGTH)}`,
];

const VERSIONS = [
  'HTTP/1.1',
  'HTTP/1.0',
  'HTTP/0.9',
  'HTTP/2.0',
  'HTTP/1.',
  '',
];

const ODD_NUMBERS = [
  ...['-1', '0', '1e308', 'NaN', '', '0x10', '1, 2', '99999999999999999999'],
  ...['0.000001', 'Infinity', '  7  ', '9007199254740993'],
];

/** Names of headers with values that a server may stumble over. */
const ODD_HEADERS: Readonly<Record<string, readonly string[]>> = {
  Host: ['', '[::1', 'a b', 'h:99999', `${HOST}:x`, '\u00ff', HOST],
  Expect: ['100-continue', '200-ok', ''],
  Upgrade: ['websocket', 'h2c', 'HTTP/3'],
  Connection: ['Upgrade', 'close', 'keep-alive', 'host', 'x\u0080, ,', 'TE'],
  'Transfer-Encoding': ['chunked', 'chunked, identity', 'gzip', 'x', ''],
  'Content-Length': [...ODD_NUMBERS, '5', '100000'],
  'Content-Type': ['application/json', 'multipart/form-data; boundary='],
  TE: ['trailers'],
  Trailer: ['Content-Length'],
  Authorization: [`Bearer ${INITIAL_API_KEY}`, 'Bearer', 'Basic =', ''],
  'Request-Id': ['', '__proto__', 'constructor', 'r'.repeat(5_000)],
  'Deadline-Ms': ODD_NUMBERS,
  'Last-Event-Id': ODD_NUMBERS,
  'Token-Counts': ['-5,1e9', ',', '1e308,1e308', 'a,b', '170,40'],
  'Prompt-Prefix': [
    ...['a:-1', ':', 'a:1e308,b:2', '__proto__:5'],
    Array.from({length: 1_000}, (_, i) => `p${i}:1`).join(','),
  ],
  Model: ['m', '__proto__', '\u00e9'],
  Resumes: ['__proto__', 'unknown'],
  'Expect-Instance': ['u1'],
  'Retry-After': ODD_NUMBERS,
  __proto__x: ['1'],
  'X-Long': ['x'.repeat(EXCESSIVE_LENGTH), 'x'.repeat(12_000)],
  'X y': ['1'],
  '': ['1'],
};

const oddHeader = fc
  .constantFrom(...Object.entries(ODD_HEADERS))
  .chain(([name, values]) =>
    fc.tuple(fc.constant(name), fc.constantFrom(...values)),
  );

const randomHeader = fc.tuple(
  fc.string({unit: 'binary-ascii', minLength: 1, maxLength: 12}),
  fc.string({unit: 'binary', maxLength: 40}),
);

/** Headers of a request that a gateway serves. */
const soundHeaders = fc
  .tuple(fc.uuid(), fc.constantFrom('300', '2000', '6000'))
  .map(([id, deadline]): Array<[string, string]> => [
    ['Host', HOST],
    ['Authorization', `Bearer ${INITIAL_API_KEY}`],
    ['Request-Id', id],
    ['Deadline-Ms', deadline],
  ]);

const manyHeaders = fc
  .integer({min: 50, max: 2_100})
  .map(count =>
    Array.from({length: count}, (_, i): [string, string] => [`x-${i}`, 'v']),
  );

const headers = fc
  .tuple(
    fc.oneof(
      {weight: 4, arbitrary: soundHeaders},
      {weight: 1, arbitrary: fc.constant([])},
    ),
    fc.oneof(
      {weight: 6, arbitrary: fc.array(oddHeader, {maxLength: 4})},
      {weight: 1, arbitrary: fc.array(randomHeader, {maxLength: 8})},
      {weight: 1, arbitrary: manyHeaders},
    ),
  )
  .map(([sound, odd]) => [...sound, ...odd]);

const ODD_CHUNKS = [
  '5;a=b;c\r\nabcde\r\n0\r\n\r\n',
  '5\r\nabcde\r\n0\r\nTrailer: x\r\n\r\n',
  '-5\r\nabcde\r\n',
  'zz\r\n',
  'ffffffffffffffffff\r\n',
  '5\r\nabcdefgh\r\n0\r\n\r\n',
  '5\nabcde\n0\n\n',
  '3\r\nab',
  `1;${'x'.repeat(20_000)}\r\na\r\n0\r\n\r\n`,
];

/** Headers that state the framing of a body, and the body. */
const body = fc.oneof(
  {weight: 4, arbitrary: fc.constant('\r\n')},
  {
    weight: 3,
    arbitrary: fc
      .tuple(fc.nat(MAX_BODY_BYTES), fc.constantFrom(0, 0, 0, -3, 7))
      .map(
        ([bytes, surplus]) =>
          `Content-Length: ${Math.max(0, bytes + surplus)}\r\n\r\n${'b'.repeat(bytes)}`,
      ),
  },
  {
    weight: 2,
    arbitrary: fc
      .constantFrom(...ODD_CHUNKS)
      .map(chunks => `Transfer-Encoding: chunked\r\n\r\n${chunks}`),
  },
  {
    weight: 1,
    arbitrary: fc
      .constantFrom(...ODD_CHUNKS)
      .map(
        chunks =>
          `Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`,
      ),
  },
);

const request = fc
  .record({
    method: fc.oneof(
      {weight: 2, arbitrary: fc.constantFrom('GET', 'POST')},
      {weight: 1, arbitrary: fc.constantFrom(...METHODS)},
    ),
    target: fc.oneof(
      {weight: 3, arbitrary: fc.constantFrom(...Object.values(ROUTE_PATHS))},
      {weight: 3, arbitrary: fc.constantFrom(...TARGETS)},
      {weight: 1, arbitrary: fc.string({unit: 'binary-ascii', maxLength: 30})},
    ),
    version: fc.oneof(
      {weight: 9, arbitrary: fc.constant('HTTP/1.1')},
      {weight: 1, arbitrary: fc.constantFrom(...VERSIONS)},
    ),
    headers,
    body,
  })
  .map(parts => {
    const lines = parts.headers.map(([name, value]) => `${name}: ${value}\r\n`);
    const head = `${parts.method} ${parts.target} ${parts.version}\r\n`;
    return Buffer.from(`${head}${lines.join('')}${parts.body}`, 'latin1');
  });

/** Bytes of one connection: sound, odd and broken requests, also many at once, or no HTTP at all. */
export const hostileBytes: fc.Arbitrary<Buffer> = fc.oneof(
  {weight: 6, arbitrary: request},
  {
    weight: 2,
    arbitrary: fc
      .array(request, {minLength: 2, maxLength: 6})
      .map(requests => Buffer.concat(requests)),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(request, fc.integer({min: 2, max: MAX_PIPELINED}))
      .map(([bytes, count]) =>
        Buffer.concat(Array.from({length: count}, () => bytes)),
      ),
  },
  {
    weight: 1,
    arbitrary: fc
      .uint8Array({minLength: 1, maxLength: 300})
      .map(bytes => Buffer.from(bytes)),
  },
  {
    weight: 1,
    // The start of HTTP/2, and what may follow it.
    arbitrary: fc
      .uint8Array({maxLength: 100})
      .map(bytes =>
        Buffer.concat([Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'), bytes]),
      ),
  },
);
