import {EventEmitter} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createLogger} from '@sardinestile/logger';
import {
  createProcessSignals,
  type ProcessOutcome,
  type ProcessSignalsOptions,
} from '../src/process_signals.js';

/** Time limit of a stop after an uncaught error, in milliseconds. */
export const STOP_LIMIT_MS = 60;

/** A process whose start and stop end when the test says so. */
export function createTestProcess(hangUp: ProcessSignalsOptions['hangUp']) {
  const exitCodes: unknown[] = [];
  const host = Object.assign(new EventEmitter(), {
    uptime: () => 1.5,
    exit: (code?: unknown) => void exitCodes.push(code),
  }) as EventEmitter & NonNullable<ProcessSignalsOptions['host']>;
  const loopDelay = {
    earliestSignalAtMs: () => polledAtMs,
    stop: () => undefined,
  };
  const signals = createProcessSignals({hangUp, host, loopDelay});
  const lines: string[] = [];
  const calls: string[] = [];
  let polledAtMs = 0;
  const stopTimes: number[] = [];
  const logger = createLogger({
    level: 'info',
    write: line => lines.push(line),
  });
  let finishStart: () => void = () => undefined;
  let finishStop: () => void = () => undefined;
  let failStop: (error: Error) => void = () => undefined;
  const daemon = {
    reload: () => void calls.push('reload'),
    stop(signalledAtMs: number) {
      calls.push('stop');
      stopTimes.push(signalledAtMs);
      return new Promise<void>((resolve, reject) => {
        finishStop = resolve;
        failStop = reject;
      });
    },
    stopLimitMs: STOP_LIMIT_MS,
  };
  let hasEnded = false;
  let outcome: ProcessOutcome | undefined;
  return {
    calls,
    stopTimes,
    poll: (atMs: number) => void (polledAtMs = atMs),
    exitCodes,
    get hasEnded() {
      return hasEnded;
    },
    get outcome() {
      return outcome;
    },
    effects: () => lines.map(line => /effect=(\w+)/.exec(line)?.[1]),
    lines,
    /** Begins the start of the process. */
    start() {
      const ended = signals.run(logger, async () => {
        calls.push('start');
        await new Promise<void>(resolve => (finishStart = resolve));
        return daemon;
      });
      return ended.then(result => {
        hasEnded = true;
        outcome = result;
      });
    },
    /** Throws an error that nothing catches. */
    async throwUncaught(error: unknown) {
      host.emit('uncaughtException', error, 'uncaughtException');
      await nextTurn();
    },
    async send(signal: 'SIGHUP' | 'SIGTERM' | 'SIGINT') {
      host.emit(signal, signal);
      await nextTurn();
    },
    async finishStart() {
      finishStart();
      await nextTurn();
    },
    async finishStop() {
      finishStop();
      await nextTurn();
    },
    async failStop(error: Error) {
      failStop(error);
      await nextTurn();
    },
  };
}

/** A process that has started. */
export async function startTestProcess(
  hangUp: ProcessSignalsOptions['hangUp'],
) {
  const testProcess = createTestProcess(hangUp);
  void testProcess.start();
  await testProcess.finishStart();
  return testProcess;
}
