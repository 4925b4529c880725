import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseJson} from '../src/index.js';

const LIMIT = 10;

describe('parseJson', () => {
  it('parses text with as many values as are allowed', () => {
    const text = JSON.stringify([1, {a: [2, 3]}, 'x', null]);
    expect(parseJson(text, LIMIT)).toEqual([1, {a: [2, 3]}, 'x', null]);
  });

  it('allows any text that is shorter than the limit', () => {
    expect(parseJson('"a,b,c"', LIMIT)).toEqual('a,b,c');
  });

  for (const value of ['{}', '[]', '0', '{"a":0}', '[[]]']) {
    it(`rejects more values, such as ${value}`, () => {
      const text = `[${Array(LIMIT + 1)
        .fill(value)
        .join(',')}]`;
      expect(() => parseJson(text, LIMIT)).toThrow(
        RangeError,
        'the JSON has more than 10 values',
      );
    });
  }

  it('rejects deep nesting', () => {
    const text = '['.repeat(100_000);
    expect(() => parseJson(text, LIMIT)).toThrow(RangeError);
  });

  it('throws a SyntaxError for what is not JSON', () => {
    expect(() => parseJson('{', LIMIT)).toThrow(SyntaxError);
  });
});
