import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {REFUSALS} from '../src/index.js';

describe('REFUSALS', () => {
  it('has only codes that the operators’ documentation lists', () => {
    const url = new URL(
      '../../../docs/operators/refusal_codes.md',
      import.meta.url,
    );
    const page = readFileSync(url, 'utf8');
    const missing = Object.keys(REFUSALS).filter(
      code => !page.includes(`| \`${code}\` |`),
    );
    expect(missing).toEqual([]);
  });
});
