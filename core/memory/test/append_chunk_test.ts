import {describe, it} from 'node:test';
import {expect} from 'earl';
import {appendChunk} from '../src/index.js';

const BYTES = 1_048_576;

/** Parts that a message of `BYTES` may take in chunks of any size. */
const MAX_PARTS = 1_024;

/** Returns the message and the parts that it has after it arrived in chunks. */
function appendAll(chunkBytes: () => number) {
  const message = Buffer.from(Uint8Array.from({length: BYTES}, (_, i) => i));
  const parts: Buffer[] = [];
  for (let at = 0; at < BYTES;) {
    const end = at + chunkBytes();
    appendChunk(parts, message.subarray(at, end));
    at = end;
  }
  return {message, parts};
}

describe('the parts of a message', () => {
  for (const size of [1, 7, 100, 4_095, 4_096, 65_536]) {
    it(`are few and in order for chunks of ${size} bytes`, () => {
      const {message, parts} = appendAll(() => size);
      expect(parts.length).toBeLessThanOrEqual(MAX_PARTS);
      expect(Buffer.concat(parts).equals(message)).toEqual(true);
    });
  }

  it('are few and in order for chunks of different sizes', () => {
    const sizes = [4_000, 1, 9_000, 3, 2, 50, 4_095, 700, 4_096, 90, 20, 5];
    let next = 0;
    const {message, parts} = appendAll(() => sizes[next++ % sizes.length]);
    expect(parts.length).toBeLessThanOrEqual(MAX_PARTS);
    expect(Buffer.concat(parts).equals(message)).toEqual(true);
  });

  it('are large chunks without a copy', () => {
    const chunks = [Buffer.alloc(5_000), Buffer.alloc(65_536)];
    const parts: Buffer[] = [];
    chunks.forEach(chunk => appendChunk(parts, chunk));
    expect(parts[0] === chunks[0] && parts[1] === chunks[1]).toEqual(true);
  });
});
