import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {watchMemory, type MemoryWatch} from '../src/memory_watch.js';

const LIMIT_MB = 150;

/** Time in which a watch reads the memory several times, in milliseconds. */
const WATCHED_MS = 300;

/** Holds the megabytes that its first argument states, for a moment or for good. */
const PROGRAM = `
let held = Buffer.alloc(Number(process.argv[1]) * 1_048_576, 1);
if (process.argv[2] === 'brief') held = undefined;
process.stdout.write('allocated');
setInterval(() => held, 1_000);
`;

describe('watchMemory', () => {
  let child: ChildProcess;
  let watch: MemoryWatch;
  let signals: NodeJS.Signals[];

  beforeEach(() => (signals = []));
  afterEach(() => {
    watch.stop();
    child.kill('SIGKILL');
  });

  const watchProcess = async (...args: string[]) => {
    child = spawn(process.execPath, ['-e', PROGRAM, ...args]);
    watch = watchMemory(
      [
        {
          name: 'front-1',
          pid: child.pid!,
          signal: name => void signals.push(name),
        },
      ],
      LIMIT_MB,
    );
    await once(child.stdout!, 'data');
    await sleep(WATCHED_MS);
  };

  it('leaves a process alone whose memory is within the limit', async () => {
    await watchProcess('10', 'held');
    expect(watch.failures).toEqual([]);
    expect(signals).toEqual([]);
    expect(watch.peakMb).toBeGreaterThan(10);
  });

  for (const duration of ['held', 'brief']) {
    it(`ends a process once, and reports it, whose memory was over the limit (${duration})`, async () => {
      await watchProcess(String(LIMIT_MB), duration);
      expect(signals).toEqual(['SIGKILL']);
      expect(watch.failures.length).toEqual(1);
      expect(watch.failures[0]).toEqual(
        expect.regex(/^front-1 was ended with \d+\.\d MB of 150 MB$/),
      );
    });
  }
});
