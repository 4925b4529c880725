import {spawnSync} from 'node:child_process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {readPeakResidentBytes} from '../src/index.js';

const MB = 1_048_576;

describe('the peak of the resident memory', () => {
  it('does not include the process that started this one', () => {
    const held = Buffer.alloc(300 * MB, 1);
    const {stdout} = spawnSync(
      process.execPath,
      [
        '--import=tsx',
        '--conditions=sardinestile-source',
        '--input-type=module',
        '--eval',
        `import {readPeakResidentBytes} from '@sardinestile/memory';
         console.log(readPeakResidentBytes());`,
      ],
      {encoding: 'utf8', cwd: new URL('../../../', import.meta.url)},
    );
    expect(readPeakResidentBytes()!).toBeGreaterThan(held.length);
    expect(Number(stdout)).toBeGreaterThan(20 * MB);
    expect(Number(stdout)).toBeLessThan(250 * MB);
  });
});
