import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {checkProcesses} from '../src/check_processes.js';

const logPath = join(mkdtempSync(join(tmpdir(), 'processes-')), 'front-1.log');

const check = (lines: string[], unexpectedExits: string[] = []) => {
  writeFileSync(logPath, `${lines.join('\n')}\n`);
  return checkProcesses([{name: 'front-1', logPath, unexpectedExits}]);
};

describe('checkProcesses', () => {
  it('accepts a process that ended when it was told to', () =>
    expect(
      check(['level=info event=process_ended cause=stopped exitCode=0']),
    ).toEqual([]));

  for (const end of ['1', 'SIGABRT']) {
    const exit = `front-1 ended by itself after 40 ms: ${end}`;
    it(`reports a process that ended by itself with ${end}`, () =>
      expect(check([], [exit])).toEqual([exit]));
  }

  for (const line of [
    'level=error event=process_ended cause=uncaughtException reason=x',
    'level=error event=process_ended cause=unhandledRejection reason=x',
    'level=error event=input_failed input=datagram reason=x',
  ]) {
    it(`reports the line ${line}`, () =>
      expect(check([line]).length).toEqual(1));
  }
});
