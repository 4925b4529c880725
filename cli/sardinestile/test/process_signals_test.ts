import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {
  createProcessSignals,
  type ProcessSignalsOptions,
} from '../src/process_signals.js';
import {createTestProcess, startTestProcess} from './test_process.js';

describe('createProcessSignals', () => {
  describe('a running process', () => {
    it('reloads its settings at each SIGHUP', async () => {
      const running = await startTestProcess('reload');
      await running.send('SIGHUP');
      await running.send('SIGHUP');
      expect(running.calls).toEqual(['start', 'reload', 'reload']);
    });

    it('stops in order at SIGHUP if it has no settings to reload', async () => {
      const running = await startTestProcess('stop');
      await running.send('SIGHUP');
      expect(running.calls).toEqual(['start', 'stop']);
    });

    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      it(`stops at ${signal}, and has ended when the stop is complete`, async () => {
        const running = await startTestProcess('reload');
        await running.send(signal);
        expect(running.calls).toEqual(['start', 'stop']);
        expect(running.hasEnded).toEqual(false);
        await running.finishStop();
        expect(running.hasEnded).toEqual(true);
      });
    }
  });

  describe('a process that finishes its open requests', () => {
    it('goes on when SIGTERM comes again, and SIGINT', async () => {
      const stopping = await startTestProcess('reload');
      for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT'] as const) {
        await stopping.send(signal);
      }
      expect(stopping.calls).toEqual(['start', 'stop']);
      expect(stopping.exitCodes).toEqual([]);
      expect(stopping.hasEnded).toEqual(false);
      expect(stopping.effects()).toEqual(['stop', 'none', 'none']);
    });

    for (const hangUp of ['reload', 'stop'] as const) {
      it(`goes on and reloads nothing at SIGHUP, hang-up: ${hangUp}`, async () => {
        const stopping = await startTestProcess(hangUp);
        for (const signal of ['SIGTERM', 'SIGHUP', 'SIGHUP'] as const) {
          await stopping.send(signal);
        }
        expect(stopping.calls).toEqual(['start', 'stop']);
        expect(stopping.exitCodes).toEqual([]);
        expect(stopping.effects()).toEqual(['stop', 'none', 'none']);
      });
    }

    it('ends at once at the second SIGINT', async () => {
      const stopping = await startTestProcess('reload');
      await stopping.send('SIGINT');
      await stopping.send('SIGINT');
      expect(stopping.exitCodes).toEqual([130]);
    });
  });

  describe('a process that is still starting', () => {
    it('reloads its settings once it has started if SIGHUP came before', async () => {
      const starting = createTestProcess('reload');
      void starting.start();
      await starting.send('SIGHUP');
      expect(starting.calls).toEqual(['start']);
      await starting.finishStart();
      expect(starting.calls).toEqual(['start', 'reload']);
    });

    it('stops once it has started if SIGTERM came before, once or more', async () => {
      const starting = createTestProcess('reload');
      void starting.start();
      await starting.send('SIGHUP');
      await starting.send('SIGTERM');
      await starting.send('SIGTERM');
      expect(starting.calls).toEqual(['start']);
      await starting.finishStart();
      expect(starting.calls).toEqual(['start', 'stop']);
    });

    it('counts its grace period from when SIGTERM may have been sent, not from the end of its start', async () => {
      const starting = createTestProcess('reload');
      void starting.start();
      starting.poll(700);
      await starting.send('SIGTERM');
      starting.poll(2_500);
      await starting.finishStart();
      expect(starting.stopTimes).toEqual([700]);
    });

    it('does not start if SIGTERM came while its modules were loading', async () => {
      const loading = createTestProcess('reload');
      await loading.send('SIGTERM');
      await loading.start();
      expect(loading.calls).toEqual([]);
    });

    it('logs the signals that came before it had a logger', async () => {
      const loading = createTestProcess('reload');
      await loading.send('SIGHUP');
      expect(loading.lines).toEqual([]);
      void loading.start();
      expect(loading.lines.length).toEqual(1);
      expect(loading.lines[0]).toInclude(
        'event=signal_received signal=SIGHUP sinceStartMs=1500 effect=reloadOnceStarted',
      );
    });

    it('rejects if the start fails', async () => {
      const host = Object.assign(new EventEmitter(), {
        uptime: () => 0,
        exit: () => undefined,
      }) as unknown as ProcessSignalsOptions['host'];
      const logger = createLogger({level: 'silent'});
      const failed = createProcessSignals({hangUp: 'reload', host}).run(
        logger,
        () => Promise.reject(new Error('address in use')),
      );
      await expect(failed).toBeRejectedWith('address in use');
    });
  });

  it('lets SIGTERM end a process that has stopped and lingers', async () => {
    const stopped = await startTestProcess('reload');
    await stopped.send('SIGTERM');
    await stopped.finishStop();
    await stopped.send('SIGTERM');
    expect(stopped.exitCodes).toEqual([undefined]);
  });
});
