import {describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {createInputBoundary} from '../src/index.js';

describe('createInputBoundary', () => {
  // Guards against a process that ends since a failure of one request could not be counted.
  it('does not throw if a failure cannot be counted', async () => {
    const lines: string[] = [];
    const boundary = createInputBoundary({
      logger: createLogger({level: 'warn', write: line => lines.push(line)}),
      metrics: {
        increment() {
          throw new Error('the label is unknown');
        },
      },
    });
    let failed = 0;
    const guard = (handler: () => void | Promise<void>) =>
      boundary.guard('callerRequest', handler, () => void failed++);
    guard(() => {
      throw new Error('the request is odd');
    })();
    guard(() => Promise.reject(new Error('the request is odd')))();
    await new Promise(resolve => setImmediate(resolve));
    expect(failed).toEqual(2);
    const reasons = ['the request is odd', 'the label is unknown'];
    for (const reason of reasons) {
      expect(lines.filter(line => line.includes(reason)).length).toEqual(2);
    }
  });
});
