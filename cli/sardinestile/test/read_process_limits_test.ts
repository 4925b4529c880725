import {execFileSync} from 'node:child_process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ProcessLimits} from '../src/read_process_limits.js';

const MODULE = new URL('../src/read_process_limits.ts', import.meta.url).href;

const BYTES_PER_MB = 1_048_576;

/** Returns what a process with flags of V8 reads in megabytes, with a limit of descriptors. */
function readWith(flags: string[], maxDescriptors: number) {
  const script = `const {readProcessLimits} = await import(${JSON.stringify(MODULE)});
    console.log(JSON.stringify(readProcessLimits()));`;
  const command = [
    process.execPath,
    ...process.execArgv,
    ...flags,
    '--input-type=module',
    '--eval',
    script,
  ];
  const output = execFileSync(
    'sh',
    ['-c', `ulimit -n ${maxDescriptors}; exec "$@"`, 'sh', ...command],
    {encoding: 'utf8', env: {...process.env, NODE_OPTIONS: ''}},
  );
  const limits = JSON.parse(output) as ProcessLimits;
  return {
    heapMb: limits.heapLimitBytes / BYTES_PER_MB,
    maxDescriptors: limits.maxDescriptors,
  };
}

describe('readProcessLimits', () => {
  it('does not take the space of new objects for that of old ones', () => {
    const small = ['--max-old-space-size=90'];
    expect(readWith(small, 500)).toEqual({heapMb: 90, maxDescriptors: 500});
    const stated = [...small, '--max-semi-space-size=2'];
    expect(readWith(stated, 600)).toEqual({heapMb: 90, maxDescriptors: 600});
  });
});
