import {spawn} from 'node:child_process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createRateLimitedLogger,
  createLogRateLimiter,
  createLineWriter,
} from '../src/index.js';

describe('createLineWriter', () => {
  it('drops and counts lines while the reader stalls', () => {
    const writer = createLineWriter({
      writeBytes: () => undefined,
      maxQueuedBytes: 100,
    });
    for (let i = 0; i < 50; i++) writer.write('0123456789');
    expect(writer.queuedBytes).toEqual(100);
    expect(writer.takeDropped()).toEqual(40);
    expect(writer.takeDropped()).toEqual(0);
  });

  it('writes the rest after a partial write', async () => {
    let written = '';
    const writer = createLineWriter({
      writeBytes(bytes, done) {
        written += bytes.subarray(0, 3).toString();
        setImmediate(() => done(null, Math.min(3, bytes.length)));
      },
    });
    writer.write('one\n');
    writer.write('two\n');
    while (writer.queuedBytes > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(written).toEqual('one\ntwo\n');
  });

  it('does not block the event loop while the reader of the pipe stalls', async () => {
    const code = `
      import {createLineWriter} from '@sardinestile/logger';
      const writer = createLineWriter({maxQueuedBytes: 400_000});
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
    // The pipe fills up, since its reader never reads.
    child.stdout.pause();
    let stderrText = '';
    child.stderr.on(
      'data',
      (chunk: Buffer) => (stderrText += chunk.toString()),
    );
    await new Promise(resolve => child.on('exit', resolve));
    expect(stderrText).toEqual('dropped 6000');
  });
});

describe('createLogRateLimiter', () => {
  it('limits the lines of each event separately', () => {
    const limiter = createLogRateLimiter({linesPerSecond: 10, burst: 5});
    let refusals = 0;
    for (let ms = 0; ms < 1000; ms++) {
      if (limiter.allow('call_refused', ms)) refusals++;
    }
    expect(refusals).toEqual(14);
    expect(limiter.allow('config_applied', 1000)).toEqual(true);
    expect(limiter.takeSuppressed()).toEqual([
      {event: 'call_refused', lines: 986},
    ]);
  });
});

describe('createRateLimitedLogger', () => {
  it('limits the lines of a refusal that is logged thousands of times', () => {
    const lines: string[] = [];
    const logger = createRateLimitedLogger({
      level: 'info',
      rateLimit: {linesPerSecond: 1, burst: 20},
      writer: {
        write: line => lines.push(line),
        takeDropped: () => 0,
        queuedBytes: 0,
        flush: () => Promise.resolve(),
      },
    });
    for (let i = 0; i < 10_000; i++) {
      logger.info('call_refused', {code: 'overloaded', status: 503});
    }
    expect(lines.length <= 21).toEqual(true);
    expect(lines[0]).toEqual(expect.includes('event=call_refused'));
  });
});
