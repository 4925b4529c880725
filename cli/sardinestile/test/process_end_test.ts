import {
  execFileSync,
  spawn,
  spawnSync,
  type ChildProcess,
} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {parseLogLine} from '@sardinestile/logger';
import {expect} from 'earl';

const MODULE_URL = new URL('../src/process_end.ts', import.meta.url).href;

describe('the end of a process', () => {
  const directory = mkdtempSync(join(tmpdir(), 'process-end-'));
  /** Writes a program that executes the statements, and returns the arguments to run it. */
  const writeProgram = (name: string, statements: string) => {
    const path = join(directory, `${name}.mts`);
    writeFileSync(
      path,
      `import {writeSync} from 'node:fs';
       import {logProcessEnd} from '${MODULE_URL}';
       const processEnd = logProcessEnd();
       ${statements}`,
    );
    return ['--import', 'tsx', '--conditions=sardinestile-source', path];
  };
  /** Runs a process that executes the statements, and parses its last line. */
  const runProcess = (name: string, statements: string) => {
    const {stdout, status} = spawnSync(
      process.execPath,
      writeProgram(name, statements),
      {encoding: 'utf8'},
    );
    const lastLine = stdout.trimEnd().split('\n').at(-1)!;
    return {line: parseLogLine(lastLine), status};
  };

  for (const {name, statements, cause, status} of [
    {
      name: 'a stop',
      statements: `processEnd.record('stopped');`,
      cause: 'stopped',
      status: 0,
    },
    {
      name: 'an exception that nothing catches',
      statements: `setTimeout(() => { throw new Error('found late'); }, 1);`,
      cause: 'uncaughtException',
      status: 1,
    },
    {
      name: 'a rejection that nothing handles',
      statements: `void Promise.reject(new Error('found late'));`,
      cause: 'unhandledRejection',
      status: 1,
    },
    {
      name: 'an exit by other code',
      statements: `process.exit(7);`,
      cause: 'other',
      status: 7,
    },
  ]) {
    it(`has one line with cause, uptime and memory after ${name}`, () => {
      const {line, status: exitStatus} = runProcess(cause, statements);
      expect(exitStatus).toEqual(status);
      expect(line?.event).toEqual('process_ended');
      expect(line?.fields.get('cause')).toEqual(cause);
      expect(Number(line?.fields.get('uptimeMs'))).toBeGreaterThan(0);
      expect(Number(line?.fields.get('heapUsedMb'))).toBeGreaterThan(0);
    });
  }

  describe('whose standard output takes no line', () => {
    const expectLineOnStderr = async (child: ChildProcess) => {
      const errorText = text(child.stderr!);
      const [exitCode] = (await once(child, 'exit')) as [number];
      expect(exitCode).toEqual(4);
      expect(await errorText).toInclude('event=process_ended cause=stopped');
    };
    const STOP = `processEnd.record('stopped'); process.exitCode = 4;`;

    it('keeps its exit code and has the line on standard error if it has no reader', async () => {
      const child = spawn(process.execPath, writeProgram('unread', STOP));
      child.stdout.destroy();
      await expectLineOnStderr(child);
    });

    it('keeps its exit code and has the line on standard error if it is full', async () => {
      const program = writeProgram(
        'full',
        `process.stdout.fd; // Makes the pipe non-blocking.
         try { for (;;) writeSync(1, 'x'.repeat(65_536)); } catch {}
         ${STOP}`,
      );
      const path = join(directory, 'pipe');
      execFileSync('mkfifo', [path]);
      const descriptor = openSync(path, constants.O_RDWR);
      const stdio = ['ignore', descriptor, 'pipe'] as const;
      await expectLineOnStderr(
        spawn(process.execPath, program, {stdio: [...stdio]}),
      );
      closeSync(descriptor);
    });
  });
});
