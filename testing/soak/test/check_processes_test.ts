import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {checkProcesses} from '../src/check_processes.js';
import type {ProcessExit} from '../src/gateway_process.js';

const logPath = join(mkdtempSync(join(tmpdir(), 'processes-')), 'front-1.log');

const check = (lines: string[], unexpectedExits: ProcessExit[] = []) => {
  writeFileSync(logPath, `${lines.join('\n')}\n`);
  return checkProcesses([{name: 'front-1', logPath, unexpectedExits}]);
};

describe('checkProcesses', () => {
  it('accepts a process that ended when it was told to', () =>
    expect(
      check(['level=info event=process_ended cause=stopped exitCode=0']),
    ).toEqual([]));

  for (const exit of [
    {code: 1, signal: null},
    {code: null, signal: 'SIGABRT'},
  ] as const) {
    it(`reports a process that ended by itself with ${exit.signal ?? exit.code}`, () =>
      expect(check([], [exit]).length).toEqual(1));
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
