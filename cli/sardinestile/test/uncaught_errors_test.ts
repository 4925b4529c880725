import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  createTestProcess,
  startTestProcess,
  STOP_LIMIT_MS,
} from './test_process.js';

const error = new Error('found late');

describe('an error that nothing catches', () => {
  it('stops a running process as SIGTERM does, and is its cause', async () => {
    const failed = await startTestProcess('reload');
    await failed.throwUncaught(error);
    expect(failed.calls).toEqual(['start', 'stop']);
    expect(failed.hasEnded).toEqual(false);
    await failed.finishStop();
    expect(failed.outcome).toEqual({cause: 'uncaughtException', error});
    expect(failed.effects()).toEqual(['stop']);
    expect(failed.lines[0]).toInclude('found late');
  });

  it('stops a process in order also if it has no text', async () => {
    const failed = await startTestProcess('reload');
    await failed.throwUncaught(Object.create(null));
    expect(failed.calls).toEqual(['start', 'stop']);
    expect(failed.effects()).toEqual(['stop']);
  });

  it('fails a start that is under way', async () => {
    const starting = createTestProcess('reload');
    const failed = expect(starting.start()).toBeRejectedWith('found late');
    await starting.throwUncaught(error);
    await failed;
    expect(starting.effects()).toEqual(['failStart']);
  });

  it('fails the start if SIGTERM came while it was under way', async () => {
    const starting = createTestProcess('reload');
    const failed = expect(starting.start()).toBeRejectedWith('found late');
    await starting.send('SIGTERM');
    await starting.throwUncaught(error);
    await failed;
  });

  it('fails the start, and is logged, if it came while the modules were loading', async () => {
    const loading = createTestProcess('reload');
    await loading.throwUncaught(error);
    await expect(loading.start()).toBeRejectedWith('found late');
    expect(loading.calls).toEqual([]);
    expect(loading.effects()).toEqual(['failStart']);
  });

  it('has no effect on a process that SIGTERM stops', async () => {
    const stopping = await startTestProcess('reload');
    stopping.poll(performance.now());
    await stopping.send('SIGTERM');
    await stopping.throwUncaught(error);
    await stopping.throwUncaught(error);
    expect(stopping.effects()).toEqual(['stop', 'none', 'none']);
    expect(stopping.hasEnded).toEqual(false);
    await stopping.finishStop();
    expect(stopping.outcome).toEqual({cause: 'stopped'});
    expect(stopping.exitCodes).toEqual([]);
  });

  it('ends a process whose stop never ends, within its time limit', async () => {
    const stuck = await startTestProcess('reload');
    await stuck.throwUncaught(error);
    await sleep(2 * STOP_LIMIT_MS);
    expect(stuck.outcome).toEqual({cause: 'uncaughtException', error});
    expect(stuck.lines.at(-1)!).toInclude('event=process_stop_failed');
  });

  it('limits the time of a stop that a signal began', async () => {
    const stuck = await startTestProcess('reload');
    stuck.poll(performance.now());
    await stuck.send('SIGTERM');
    await stuck.throwUncaught(error);
    await sleep(2 * STOP_LIMIT_MS);
    expect(stuck.outcome?.cause).toEqual('stopFailed');
  });

  it('of a stop is the cause of the end', async () => {
    const stopping = await startTestProcess('reload');
    await stopping.send('SIGTERM');
    await stopping.failStop(error);
    expect(stopping.outcome).toEqual({cause: 'stopFailed', error});
  });
});
