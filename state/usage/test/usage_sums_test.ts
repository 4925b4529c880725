import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  addAllUsage,
  addUsage,
  decodeUsageSums,
  encodeUsageSums,
  type UsageSums,
} from '../src/index.js';

const USAGE = {requests: 1, promptTokens: 2, outputTokens: 3};

describe('sums of usage', () => {
  for (const organisation of ['__proto__', 'constructor', 'toString', '']) {
    // Guards against an organisation whose usage is lost, or that changes all objects of the process.
    it(`count the organisation ${JSON.stringify(organisation)}, and change no other object`, () => {
      const sums: UsageSums = new Map();
      addUsage(sums, organisation, USAGE);
      addAllUsage(sums, decodeUsageSums(encodeUsageSums(sums)));
      expect(Object.keys(Object.prototype)).toEqual([]);
      expect([...sums]).toEqual([
        [organisation, {requests: 2, promptTokens: 4, outputTokens: 6}],
      ]);
    });
  }
});
