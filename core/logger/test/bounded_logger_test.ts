import {spawn} from 'node:child_process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createBoundedLogger,
  createLineBudget,
  createLineWriter,
} from '../src/index.js';

describe('createLineWriter', () => {
  it('drops lines while the reader stalls, and counts them', () => {
    const writer = createLineWriter({
      writeBytes: () => undefined,
      maxWaitingBytes: 100,
    });
    for (let i = 0; i < 50; i++) writer.write('0123456789');
    expect(writer.waitingBytes).toEqual(100);
    expect(writer.takeDropped()).toEqual(40);
    expect(writer.takeDropped()).toEqual(0);
  });

  it('goes on where a write was partial', async () => {
    let taken = '';
    const writer = createLineWriter({
      writeBytes(bytes, done) {
        taken += bytes.subarray(0, 3).toString();
        setImmediate(() => done(null, Math.min(3, bytes.length)));
      },
    });
    writer.write('one\n');
    writer.write('two\n');
    while (writer.waitingBytes > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(taken).toEqual('one\ntwo\n');
  });

  it('keeps the event loop running while the reader of the pipe stalls', async () => {
    const code = `
      import {createLineWriter} from '@sardinestile/logger';
      const writer = createLineWriter({maxWaitingBytes: 400_000});
      for (let i = 0; i < 10_000; i++) writer.write('x'.repeat(99) + '\\n');
      setTimeout(() => {
        process.stderr.write('dropped ' + writer.takeDropped());
        process.kill(process.pid, 'SIGKILL');
      }, 50);
    `;
    const child = spawn(
      process.execPath,
      [
        '--import',
        'tsx',
        '--conditions=sardinestile-source',
        '--input-type=module',
        '-e',
        code,
      ],
      {stdio: ['ignore', 'pipe', 'pipe'], cwd: import.meta.dirname},
    );
    // Nobody reads the standard output.
    child.stdout.pause();
    let said = '';
    child.stderr.on('data', (chunk: Buffer) => (said += chunk.toString()));
    await new Promise(resolve => child.on('exit', resolve));
    expect(said).toEqual('dropped 6000');
  });
});

describe('createLineBudget', () => {
  it('bounds the lines of each event for itself', () => {
    const budget = createLineBudget({linesPerSecond: 10, burst: 5});
    let refusals = 0;
    for (let ms = 0; ms < 1000; ms++) {
      if (budget.take('call_refused', ms)) refusals++;
    }
    expect(refusals).toEqual(14);
    expect(budget.take('config_applied', 1000)).toEqual(true);
    expect(budget.takeSuppressed()).toEqual([
      {event: 'call_refused', lines: 986},
    ]);
  });
});

describe('createBoundedLogger', () => {
  it('writes a bounded part of a flood of refusals', () => {
    const lines: string[] = [];
    const logger = createBoundedLogger({
      level: 'info',
      budget: {linesPerSecond: 1, burst: 20},
      writer: {
        write: line => lines.push(line),
        takeDropped: () => 0,
        waitingBytes: 0,
      },
    });
    for (let i = 0; i < 10_000; i++) {
      logger.info('call_refused', {code: 'overloaded', status: 503});
    }
    expect(lines.length <= 21).toEqual(true);
    expect(lines[0]).toEqual(expect.includes('event=call_refused'));
  });
});
