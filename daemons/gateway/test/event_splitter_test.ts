import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createEventSplitter,
  type StreamEvent,
} from '../src/calls/event_splitter.js';

/** Splits a text that arrives in parts of a size. */
function split(text: string, partBytes: number): StreamEvent[] {
  const splitter = createEventSplitter();
  const bytes = Buffer.from(text);
  const events: StreamEvent[] = [];
  for (let at = 0; at < bytes.length; at += partBytes) {
    events.push(...splitter.push(bytes.subarray(at, at + partBytes)));
  }
  expect(splitter.partialBytes).toEqual(0);
  return events;
}

describe('the splitter of events', () => {
  const texts = [
    'id: 1\ndata: a\n\n',
    'id: 1\r\ndata: a\r\n\r\n',
    ': a comment\n\n',
    'id:7\ndata: a\ndata: b\n\n',
    'data: a\nid: x\nid: 12\n\n',
    'idle: 3\ndata: id: 4\n\n',
    '\n\n',
    `id: 9\ndata: ${'x'.repeat(500)}\n\n`,
  ];
  for (const partBytes of [1, 2, 3, 5, 64, 10_000]) {
    it(`finds the same events in parts of ${partBytes} bytes`, () => {
      const events = split(texts.join(''), partBytes);
      expect(events.map(({bytes}) => bytes.toString())).toEqual(texts);
      expect(events.map(({id}) => id)).toEqual([
        1,
        1,
        undefined,
        7,
        12,
        undefined,
        undefined,
        9,
      ]);
      expect(events.map(({hasData}) => hasData)).toEqual([
        true,
        true,
        false,
        true,
        true,
        true,
        false,
        true,
      ]);
    });
  }

  it('copies a large event once, however many parts it arrives in', () => {
    const splitter = createEventSplitter();
    const part = Buffer.alloc(65_536, 'x');
    const before = process.memoryUsage().arrayBuffers;
    for (let i = 0; i < 64; i++) splitter.push(part);
    expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(1_048_576);
    expect(splitter.partialBytes).toEqual(64 * 65_536);
  });

  // Guards against newlines without end, which cost an object and a write for each two bytes.
  it('joins events without a field that arrive together', () => {
    const splitter = createEventSplitter();
    const [first, second, ...others] = splitter.push(
      Buffer.from('data: a\n\n' + '\n'.repeat(4_000) + ': wait\n\n'),
    );
    expect(first.bytes.toString()).toEqual('data: a\n\n');
    expect(second.bytes.toString()).toEqual('\n'.repeat(4_000) + ': wait\n\n');
    expect(second.hasData).toEqual(false);
    expect(others).toEqual([]);
  });
});
