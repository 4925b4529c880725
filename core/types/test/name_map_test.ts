import {describe, it} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {nameMapOf, stringifyNameMaps} from '../src/index.js';

const schema = z.object({counts: nameMapOf(z.number())});

describe('nameMapOf', () => {
  it('keeps names that objects treat in another way', () => {
    const text = '{"counts":{"__proto__":1,"constructor":2,"":3}}';
    const {counts} = schema.parse(JSON.parse(text));
    expect([...counts]).toEqual([
      ['__proto__', 1],
      ['constructor', 2],
      ['', 3],
    ]);
    expect(stringifyNameMaps({counts})).toEqual(text);
  });

  it('accepts nothing but an object with values of the schema', () => {
    for (const counts of [[], null, 1, 'a', undefined, {a: 'b'}, [['a', 1]]]) {
      expect(schema.safeParse({counts}).success).toEqual(false);
    }
  });
});
