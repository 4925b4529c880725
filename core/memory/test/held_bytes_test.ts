import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createHeldBytes, readResidentBytes} from '../src/index.js';

const MB = 1_048_576;
const CHUNK_BYTES = 65_536;

/** Holds a message of chunks that differ, and returns it with what was appended. */
function holdChunks(sizes: readonly number[], statedBytes: number) {
  const held = createHeldBytes({statedBytes, maxBytes: MB});
  const chunks = sizes.map((size, i) => Buffer.alloc(size, i + 1));
  chunks.forEach(chunk => held.append(chunk));
  return {held, expected: Buffer.concat(chunks)};
}

describe('a held message', () => {
  const cases = [
    {name: 'without bytes', sizes: [], statedBytes: 0},
    {name: 'of one small chunk', sizes: [100], statedBytes: 100},
    {name: 'of small chunks', sizes: [100, 200, 300], statedBytes: 0},
    {name: 'of a stated size', sizes: [40_000, 40_000], statedBytes: 80_000},
    {name: 'of no stated size', sizes: [40_000, 40_000, 7], statedBytes: 0},
    {name: 'beyond its stated size', sizes: [70_000, 70_000], statedBytes: 90},
    {name: 'of the largest size', sizes: [MB - 1, 1], statedBytes: MB},
    {name: 'that states too much', sizes: [70_000], statedBytes: 10 * MB},
  ];
  for (const {name, sizes, statedBytes} of cases) {
    it(`is whole ${name}`, () => {
      const {held, expected} = holdChunks(sizes, statedBytes);
      expect(held.length).toEqual(expected.length);
      expect(held.view().equals(expected)).toEqual(true);
    });
  }

  it('takes no more than its largest size', () => {
    const held = createHeldBytes({statedBytes: 0, maxBytes: 100_000});
    held.append(Buffer.alloc(70_000));
    expect(() => held.append(Buffer.alloc(30_001))).toThrow();
  });

  it('takes as much memory as it has bytes, and none after its release', () => {
    const chunk = Buffer.alloc(CHUNK_BYTES, 'a');
    const before = readResidentBytes()!;
    const held = Array.from({length: 64}, () => {
      const message = createHeldBytes({statedBytes: MB, maxBytes: 4 * MB});
      for (let i = 0; i < MB / CHUNK_BYTES; i++) message.append(chunk);
      return message;
    });
    const heldBytes = readResidentBytes()! - before;
    expect(heldBytes).toBeLessThan(72 * MB);
    held.forEach(message => message.release());
    held.forEach(message => message.release());
    expect(before + heldBytes - readResidentBytes()!).toBeGreaterThan(60 * MB);
  });
});
