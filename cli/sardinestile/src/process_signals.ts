import type {LogEvents, Logger} from '@sardinestile/logger';
import {createDeferred} from './deferred.js';
import {describeError} from './describe_error.js';
import {startLoopDelay, type LoopDelay} from './loop_delay.js';
import {
  handleUncaughtErrors,
  type UncaughtError,
  type UncaughtErrorEffect,
} from './uncaught_errors.js';

/** A running process. */
export interface StoppableProcess {
  /**
   * Lets open requests finish before it resolves. `signalledAtMs` is the earliest time by
   * performance.now() at which the signal may have been sent.
   */
  stop(signalledAtMs: number): Promise<void>;
  /** Reads the settings again. */
  reload?(): void;
  /** Time limit of the stop after an uncaught error, in milliseconds; 30 s by default. */
  stopLimitMs?: number;
}

/** How a process that had started came to its end. */
export type ProcessOutcome =
  | {cause: 'stopped'}
  | {cause: 'stopFailed' | UncaughtError['origin']; error: unknown};

/** Signals that a process handles; all others have their default action. */
const HANDLED_SIGNALS = ['SIGHUP', 'SIGTERM', 'SIGINT'] as const;

type HandledSignal = (typeof HANDLED_SIGNALS)[number];

/** A process is `stopping` from the first request to stop, also if it is still starting. */
type Phase = 'starting' | 'running' | 'stopping' | 'stopped';

type SignalEffect =
  'reload' | 'reloadOnceStarted' | 'stop' | 'stopOnceStarted' | 'exit' | 'none';

const EFFECTS: Readonly<
  Record<Phase, Readonly<Record<HandledSignal, SignalEffect>>>
> = {
  starting: {
    SIGHUP: 'reloadOnceStarted',
    SIGTERM: 'stopOnceStarted',
    SIGINT: 'stopOnceStarted',
  },
  running: {SIGHUP: 'reload', SIGTERM: 'stop', SIGINT: 'stop'},
  // Open requests are being finished, and nothing must end them early.
  stopping: {SIGHUP: 'none', SIGTERM: 'none', SIGINT: 'none'},
  stopped: {SIGHUP: 'none', SIGTERM: 'exit', SIGINT: 'exit'},
};

const ERROR_EFFECTS: Readonly<Record<Phase, UncaughtErrorEffect>> = {
  starting: 'failStart',
  running: 'stop',
  stopping: 'none',
  stopped: 'none',
};

/**
 * Time limit of the stop after an uncaught error, in milliseconds. What the error left
 * undone may be what the stop waits for.
 */
const DEFAULT_STOP_LIMIT_MS = 30_000;

/** Exit code by convention of a process that SIGINT ended. */
const INTERRUPTED_EXIT_CODE = 130;

/** Options for createProcessSignals. */
export interface ProcessSignalsOptions {
  /** Effect of SIGHUP; `stop` suits processes that have no settings file. */
  hangUp: 'reload' | 'stop';
  /** Source of the signals; this process by default. */
  host?: Pick<NodeJS.Process, 'on' | 'exit' | 'uptime'>;
  /** Bounds when a signal was sent; by the event loop of this process by default. */
  loopDelay?: LoopDelay;
}

/** The signals of a process. */
export interface ProcessSignals {
  /**
   * Starts a process, and stops it when a signal asks for that or an error was caught
   * nowhere. Resolves after the stop, or without a start if the signal came before.
   * Rejects if the start fails. A start that still waits for something can reject with
   * the reason of `stopSignal` when the process is asked to stop.
   */
  run(
    logger: Logger,
    start: (stopSignal: AbortSignal) => Promise<StoppableProcess>,
  ): Promise<ProcessOutcome>;
}

/**
 * Handles the signals and uncaught errors of this process from now on. The first SIGTERM
 * or SIGINT stops it; further ones have no effect while open requests finish. Only the
 * second SIGINT ends it at once, as users expect of Ctrl-C in a terminal. An uncaught
 * error stops it as SIGTERM does.
 */
export function createProcessSignals(
  options: ProcessSignalsOptions,
): ProcessSignals {
  const {hangUp, host = process} = options;
  let phase: Phase = 'starting';
  let interrupts = 0;
  const loopDelay = options.loopDelay ?? startLoopDelay();
  let mustReload = false;
  let signalledAtMs = 0;
  let running: StoppableProcess | undefined;
  let logger: Logger | undefined;
  let firstError: UncaughtError | undefined;
  const unloggedSignals: Array<LogEvents['signal_received']> = [];
  const startAbort = new AbortController();
  const stopRequest = createDeferred();
  const startFailure = createDeferred<never>();
  const stopFailure = createDeferred<never>();
  let stopTimer: NodeJS.Timeout | undefined;
  const stopFrom = (atMs: number) => {
    signalledAtMs = atMs;
    phase = 'stopping';
    startAbort.abort();
    stopRequest.resolve();
  };
  const stop = () => stopFrom(loopDelay.earliestSignalAtMs());
  const handlers: Readonly<Record<SignalEffect, () => void>> = {
    reload: () => running?.reload?.(),
    reloadOnceStarted: () => (mustReload = true),
    stop,
    stopOnceStarted: stop,
    exit: () =>
      phase === 'stopped' ? host.exit() : host.exit(INTERRUPTED_EXIT_CODE),
    none: () => undefined,
  };
  const chooseEffect = (signal: HandledSignal): SignalEffect => {
    if (signal === 'SIGINT' && ++interrupts > 1) return 'exit';
    if (signal === 'SIGHUP' && hangUp === 'stop') return EFFECTS[phase].SIGTERM;
    return EFFECTS[phase][signal];
  };
  for (const signal of HANDLED_SIGNALS) {
    host.on(signal, () => {
      const effect = chooseEffect(signal);
      const sinceStartMs = Math.round(host.uptime() * 1_000);
      const fields = {signal, sinceStartMs, effect};
      if (logger) logger.info('signal_received', fields);
      else unloggedSignals.push(fields);
      handlers[effect]();
    });
  }
  const limitStop = (limitMs: number) => {
    const endStop = () =>
      stopFailure.reject(new Error(`the stop took longer than ${limitMs} ms`));
    const passedMs = performance.now() - signalledAtMs;
    stopTimer = setTimeout(endStop, limitMs - passedMs);
  };
  const errors = handleUncaughtErrors({
    host,
    onError(uncaughtError) {
      // A signal may have asked to stop a process that is still starting.
      const hasStarted = running !== undefined || phase === 'stopped';
      const effect = hasStarted ? ERROR_EFFECTS[phase] : 'failStart';
      const isFirst = firstError === undefined;
      firstError ??= uncaughtError;
      if (effect === 'failStart') startFailure.reject(uncaughtError.error);
      if (effect === 'stop') stopFrom(performance.now());
      if (isFirst && running) {
        limitStop(running.stopLimitMs ?? DEFAULT_STOP_LIMIT_MS);
      }
      return effect;
    },
  });
  const finishStop = async (
    stopping: StoppableProcess,
    stopLogger: Logger,
  ): Promise<ProcessOutcome> => {
    const stopCause = firstError
      ? {cause: firstError.origin, error: firstError.error}
      : undefined;
    try {
      await Promise.race([stopping.stop(signalledAtMs), stopFailure.promise]);
      return stopCause ?? {cause: 'stopped'};
    } catch (error) {
      stopLogger.error('process_stop_failed', {reason: describeError(error)});
      return stopCause ?? {cause: 'stopFailed', error};
    }
  };
  return {
    async run(processLogger, start) {
      logger = processLogger;
      for (const fields of unloggedSignals) {
        logger.info('signal_received', fields);
      }
      errors.logTo(logger);
      try {
        if (firstError) throw firstError.error;
        if (phase === 'stopping') return {cause: 'stopped'};
        running = await Promise.race([
          start(startAbort.signal),
          startFailure.promise,
        ]);
        if (phase === 'starting') {
          phase = 'running';
          if (mustReload) running.reload?.();
        }
        await stopRequest.promise;
        return await finishStop(running, logger);
      } catch (error) {
        const {aborted, reason} = startAbort.signal;
        if (!aborted || error !== reason) throw error;
        logger.info('start_abandoned', {
          uptimeMs: Math.round(host.uptime() * 1_000),
        });
        return {cause: 'stopped'};
      } finally {
        phase = 'stopped';
        clearTimeout(stopTimer);
        loopDelay.stop();
      }
    },
  };
}
