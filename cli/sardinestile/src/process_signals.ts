import type {LogEvents, Logger} from '@sardinestile/logger';
import {startLoopDelay, type LoopDelay} from './loop_delay.js';

/** A running process. */
export interface StoppableProcess {
  /**
   * Lets open requests finish before it resolves. `signalledAtMs` is the earliest time by
   * performance.now() at which the signal may have been sent.
   */
  stop(signalledAtMs: number): Promise<void>;
  /** Reads the settings again. */
  reload?(): void;
}

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
   * Starts a process, and stops it when a signal asks for that. Resolves after the stop,
   * or without a start if the signal came before. A start that still waits for something
   * can reject with the reason of `stopSignal` when the process is asked to stop.
   */
  run(
    logger: Logger,
    start: (stopSignal: AbortSignal) => Promise<StoppableProcess>,
  ): Promise<void>;
}

/**
 * Handles the signals of this process from now on. The first SIGTERM or SIGINT stops
 * it; further ones have no effect while open requests finish. Only the second SIGINT
 * ends it at once, as users expect of Ctrl-C in a terminal.
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
  const unloggedSignals: Array<LogEvents['signal_received']> = [];
  const startAbort = new AbortController();
  let requestStop: () => void;
  const stopRequested = new Promise<void>(resolve => (requestStop = resolve));
  const stop = () => {
    signalledAtMs = loopDelay.earliestSignalAtMs();
    phase = 'stopping';
    startAbort.abort();
    requestStop();
  };
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
  return {
    async run(processLogger, start) {
      logger = processLogger;
      for (const fields of unloggedSignals) {
        logger.info('signal_received', fields);
      }
      try {
        if (phase === 'stopping') return;
        running = await start(startAbort.signal);
        if (phase === 'starting') {
          phase = 'running';
          if (mustReload) running.reload?.();
        }
        await stopRequested;
        await running.stop(signalledAtMs);
      } catch (error) {
        const {aborted, reason} = startAbort.signal;
        if (!aborted || error !== reason) throw error;
        logger.info('start_abandoned', {
          uptimeMs: Math.round(host.uptime() * 1_000),
        });
      } finally {
        phase = 'stopped';
        loopDelay.stop();
      }
    },
  };
}
