import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseKnownFailures, readKnownFailures} from '../src/index.js';

describe('the list of known failures', () => {
  it('tells tests that fail each time from those that fail at times', () => {
    const text = `
Command: npm test

test: fails each time
test at times: fails in some runs
fails with: 503 is not equal
seen: what the test: says; issue 1

Open finding, not a failing test: another`;
    expect(parseKnownFailures(text)).toEqual({
      steady: new Set(['fails each time']),
      unsteady: new Map([['fails in some runs', '503 is not equal']]),
    });
  });

  it('names no test twice', () => {
    const {steady, unsteady} = readKnownFailures();
    expect([...unsteady.keys()].filter(name => steady.has(name))).toEqual([]);
  });
});
