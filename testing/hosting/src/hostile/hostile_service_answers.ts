import fc from 'fast-check';
import {STATUS_LINES, oddHeaderLine} from './hostile_answers.js';

/** A response of a service, before anything is changed. */
export interface SoundAnswer {
  status: number;
  /** Headers that the service set by itself, one line each. */
  headerLines: readonly string[];
  body: string;
}

/** What happens to the connection after the bytes of an answer. */
export type AnswerEnding =
  | 'keptOpen'
  | 'closed'
  | 'reset'
  /** More bytes arrive after a short pause. */
  | 'extraBytes'
  /** The same bytes arrive without end. */
  | 'flood'
  /** Single bytes arrive without end. */
  | 'trickle';

/** Bytes that are sent instead of a sound answer. */
export interface HostileAnswer {
  bytes: Buffer;
  ending: AnswerEnding;
}

/** Size of a body near the largest that clients of services read, in bytes. */
const LARGE_BODY_BYTES = 4_000_000;

/** Values of another type or size than every field of an answer has. */
const ODD_VALUES: readonly unknown[] = [
  ...[null, -1, 0.5, 1e308, -1e308, 2 ** 53, 2 ** 63, '5', '', true],
  ...[[], {}, [[]], {ver: 1}, ['x', 1], '\u0000', 'NaN', '__proto__'],
];

/** Texts that stand in a row instead of the JSON object that belongs there. */
const UNREADABLE_TEXTS = [
  ...['', 'not json', 'null', '[]', '5', '"x"', '{}', '{"a":1}', '{"version":'],
  ...['{"__proto__":{"version":1}}', '[{"__proto__":1}]', '[[[[1]]]]'],
  ...['{"version":1e308,"routes":[]}', '{"version":-1,"routes":{}}'],
  ...['{"version":"7","routes":null}', '{"fencingToken":1e308}', '\u0000'],
  '{"holderId":1,"fencingToken":"1","writerToken":[]}',
  '{"service":"pool","address":"127.0.0.1","zone":1,"slots":"8"}',
  '{"host":"","port":99999,"renewedAtMs":"x"}',
];

/** JSON of another shape than every answer. */
const ODD_BODIES = [
  ...['null', '[]', '{}', '5', '""', 'true', '[null]', '{"rows":null}'],
  ...['{"__proto__":{"rows":[]}}', '{"rows":{"length":3},"ver":1}'],
  ...['{"rows":[null],"ver":5}', '{"rows":[[]],"ver":5}', '{"ver":null}'],
  ...['{"version":1,"ageMs":-1}', '{"version":1e308,"ageMs":1e308}'],
  ...['{"constructor":1,"rows":"","ver":[]}', '['.repeat(50_000)],
  `${'[['.repeat(5_000)}1${']]'.repeat(5_000)}`,
];

/** Bodies that are not JSON. */
const JUNK_BODIES = [
  ...['', ' ', 'done', '{', '{"rows":[', '<html></html>', '\u0000\u00ff'],
  ...['{"rows":[]}{"rows":[]}', 'NaN', "{'rows':1}", '{"ver":1e}'],
];

/** Values that take many times the memory of their text. */
const LARGE_LIST_VALUES = ['{}', '[]', '{"a":0}', '0', '""'];

/** Eras that a store never has. */
const ODD_ERAS = [
  ...['-1', '', 'x', '1e308', '99999999999999999999', '0x10', '1, 1', '1.5'],
  ...['9007199254740991', '2097152', 'Infinity', '+1'],
];

const CHUNK_EXTENSION = `;x=${'y'.repeat(1_000)}`;

type BodyChange = (body: string) => string;

/** Replaces or removes one value outside of the content of rows. */
const changedField: fc.Arbitrary<BodyChange> = fc
  .record({
    at: fc.nat(),
    value: fc.option(fc.constantFrom(...ODD_VALUES), {nil: undefined}),
  })
  .map(({at, value}) => changeJson(root => replaceField(root, at, value)));

/** Replaces the values of some rows. */
const unreadableRows: fc.Arbitrary<BodyChange> = fc
  .record({
    text: fc.constantFrom(...UNREADABLE_TEXTS),
    isEncoded: fc.boolean(),
    every: fc.integer({min: 1, max: 3}),
  })
  .map(({text, isEncoded, every}) => {
    const value = isEncoded ? Buffer.from(text).toString('base64') : text;
    return changeJson(root => {
      const {rows} = root as {rows?: unknown};
      if (!Array.isArray(rows)) return;
      rows.forEach((row: unknown, i) => {
        if (i % every === 0 && isObject(row)) row.value = value;
      });
    });
  });

const bodyChange: fc.Arbitrary<BodyChange> = fc.oneof(
  {weight: 8, arbitrary: changedField},
  {weight: 6, arbitrary: unreadableRows},
  {weight: 6, arbitrary: fc.constant((body: string) => body)},
  {
    weight: 4,
    arbitrary: fc.constantFrom(...ODD_BODIES).map(text => () => text),
  },
  {
    weight: 2,
    arbitrary: fc.constantFrom(...JUNK_BODIES).map(text => () => text),
  },
  {
    weight: 1,
    arbitrary: fc
      .constantFrom(...LARGE_LIST_VALUES)
      .map(value => () => createLargeBody(value)),
  },
);

type Framing = (body: string) => {line: string; body: string};

const withLength =
  (difference: number): Framing =>
  body => ({
    line: `Content-Length: ${Buffer.byteLength(body) + difference}\r\n`,
    body,
  });

const chunked =
  (extension: string, end: string): Framing =>
  body => {
    const size = Buffer.byteLength(body).toString(16);
    return {
      line: 'Transfer-Encoding: chunked\r\n',
      body: `${size}${extension}\r\n${body}\r\n${end}`,
    };
  };

const framing: fc.Arbitrary<Framing> = fc.oneof(
  {weight: 8, arbitrary: fc.constant(withLength(0))},
  {
    weight: 3,
    arbitrary: fc.constantFrom<Framing>(
      withLength(5),
      withLength(-1),
      withLength(1e9),
      chunked('', '0\r\n\r\n'),
      chunked(CHUNK_EXTENSION, '0\r\n\r\n'),
      chunked('', '0\r\nTrailer: x\r\n\r\n'),
      chunked('', 'zz\r\n'),
      chunked('', ''),
      body => ({line: '', body}),
    ),
  },
);

const ending = fc.oneof(
  {weight: 8, arbitrary: fc.constant<AnswerEnding>('keptOpen')},
  {
    weight: 6,
    arbitrary: fc.constantFrom<AnswerEnding>('closed', 'reset', 'extraBytes'),
  },
  {weight: 1, arbitrary: fc.constantFrom<AnswerEnding>('flood', 'trickle')},
);

const oddEraLine = fc
  .constantFrom(...ODD_ERAS)
  .map(era => `Store-Era: ${era}\r\n`);

/** A status line; undefined for that of the sound answer. */
const statusLine = fc.oneof(
  {weight: 6, arbitrary: fc.constant(undefined)},
  {weight: 1, arbitrary: fc.constantFrom(...STATUS_LINES)},
);

/** Share of the bytes that are sent before the end, whatever was announced. */
const sentShare = fc.oneof(
  {weight: 6, arbitrary: fc.constant(1)},
  {weight: 1, arbitrary: fc.double({min: 0, max: 1, noNaN: true})},
);

/**
 * Answers of a service of the platform or of another gateway that no sound one gives: made
 * of a sound answer, so that most of them are nearly one. Bodies that are valid and state
 * something wrong are not among them.
 */
export const hostileServiceAnswer: fc.Arbitrary<
  (sound: SoundAnswer) => HostileAnswer
> = fc
  .record({
    statusLine,
    hasOwnHeaders: fc.constantFrom(true, true, true, false),
    headers: fc.array(
      fc.oneof(
        {weight: 2, arbitrary: oddHeaderLine},
        {weight: 1, arbitrary: oddEraLine},
      ),
      {maxLength: 2},
    ),
    change: bodyChange,
    frame: framing,
    sentShare,
    ending,
  })
  .map(plan => (sound: SoundAnswer): HostileAnswer => {
    const {line, body} = plan.frame(plan.change(sound.body));
    const head = [
      `${plan.statusLine ?? `HTTP/1.1 ${sound.status} x`}\r\n`,
      ...(plan.hasOwnHeaders
        ? sound.headerLines.map(header => `${header}\r\n`)
        : []),
      ...plan.headers,
      line,
    ].join('');
    const bytes = Buffer.concat([
      Buffer.from(`${head}\r\n`, 'latin1'),
      Buffer.from(body),
    ]);
    const sentBytes = Math.ceil(bytes.length * plan.sentShare);
    return {bytes: bytes.subarray(0, sentBytes), ending: plan.ending};
  });

/** Returns an answer with a list of equal values. */
function createLargeBody(value: string): string {
  const count = Math.floor(LARGE_BODY_BYTES / (value.length + 1));
  return `{"rows":[${`${value},`.repeat(count)}0],"ver":1}`;
}

function changeJson(change: (root: object) => void): BodyChange {
  return body => {
    const root = JSON.parse(body || 'null') as unknown;
    if (typeof root !== 'object' || root === null) return body;
    change(root);
    return JSON.stringify(root);
  };
}

/** Attributes of a field that JSON contains, whatever its name is. */
const OWN_FIELD = {configurable: true, enumerable: true, writable: true};

/** Replaces a field of the answer or of an object in one of its lists; removes it without a value. */
function replaceField(root: object, at: number, value: unknown): void {
  const objects = [
    root,
    ...Object.values(root).flatMap((field: unknown) =>
      Array.isArray(field) ? field.filter(isObject) : [],
    ),
  ] as Array<Record<string, unknown>>;
  const fields = objects.flatMap(object =>
    Object.keys(object).map(name => ({object, name})),
  );
  if (fields.length === 0) return;
  const {object, name} = fields[at % fields.length];
  if (value === undefined) Reflect.deleteProperty(object, name);
  else Reflect.defineProperty(object, name, {...OWN_FIELD, value});
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
