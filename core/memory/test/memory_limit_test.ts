import {totalmem} from 'node:os';
import {describe, it, mock} from 'node:test';
import {expect} from 'earl';
import {readMemoryLimitBytes} from '../src/index.js';

const NO_LIMIT = 2 ** 64;

describe('readMemoryLimitBytes', () => {
  for (const [name, containerBytes, expected] of [
    ['the limit of the container', 300_000_000, 300_000_000],
    ['the memory of the machine if there is no container', 0, totalmem()],
    ['the memory of the machine if nothing limits it', NO_LIMIT, totalmem()],
  ] as const) {
    it(`returns ${name}`, () => {
      const read = mock.method(
        process,
        'constrainedMemory',
        () => containerBytes,
      );
      expect(readMemoryLimitBytes()).toEqual(expected);
      read.mock.restore();
    });
  }
});
