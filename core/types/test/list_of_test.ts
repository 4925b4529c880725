import {describe, it} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {listOf} from '../src/index.js';

/** Invalid elements of one list that are reported. */
const REPORTED = 20;

describe('listOf', () => {
  const schema = z.object({
    rows: listOf(z.object({key: z.string(), size: z.number().default(1)})),
  });

  it('returns the elements as their schema does', () => {
    const rows = [{key: 'a'}, {key: 'b', size: 2, other: true}];
    expect(schema.parse({rows})).toEqual({
      rows: [
        {key: 'a', size: 1},
        {key: 'b', size: 2},
      ],
    });
  });

  it('reports invalid elements with their paths', () => {
    const rows = [{key: 'a'}, {key: 5}, null];
    const {issues} = schema.safeParse({rows}).error!;
    expect(issues.map(({path}) => path)).toEqual([
      ['rows', 1, 'key'],
      ['rows', 2],
    ]);
  });

  it('reports the first invalid elements only', () => {
    const rows = Array(100_000).fill({});
    expect(schema.safeParse({rows}).error!.issues.length).toEqual(REPORTED);
  });

  it('rejects what is no list', () => {
    expect(schema.safeParse({rows: {length: 3}}).success).toEqual(false);
  });
});
