import type {LogEvents, Logger} from '@sardinestile/logger';
import {describeError} from './describe_error.js';
import {writeLastLine} from './write_last_line.js';

/** Errors kept until there is a logger. */
const MAX_UNLOGGED_ERRORS = 10;

/** An error that no code caught. */
export interface UncaughtError {
  origin: NodeJS.UncaughtExceptionOrigin;
  error: unknown;
}

/** What an uncaught error does to the process; `none` while it ends anyway. */
export type UncaughtErrorEffect = 'failStart' | 'stop' | 'none';

/** Options for handleUncaughtErrors. */
export interface UncaughtErrorsOptions {
  host: Pick<NodeJS.Process, 'on' | 'uptime'>;
  /** Called with each error; brings its effect about and returns it. */
  onError(uncaughtError: UncaughtError): UncaughtErrorEffect;
}

/** Handles the uncaught exceptions and unhandled rejections of this process from now on. */
export function handleUncaughtErrors(options: UncaughtErrorsOptions): {
  /** Logs the errors so far, and all further ones as they come. */
  logTo(logger: Logger): void;
} {
  const {host, onError} = options;
  let logger: Logger | undefined;
  const unlogged: Array<LogEvents['uncaught_error']> = [];
  const log = (fields: LogEvents['uncaught_error']) => {
    if (logger) tryLog(logger, fields);
    else if (unlogged.length < MAX_UNLOGGED_ERRORS) unlogged.push(fields);
  };
  // Node.js passes unhandled rejections on as uncaught exceptions.
  host.on('uncaughtException', (error: unknown, origin) => {
    const effect = onError({error, origin});
    const sinceStartMs = Math.round(host.uptime() * 1_000);
    log({origin, effect, sinceStartMs, reason: describeError(error)});
  });
  return {
    logTo(newLogger) {
      logger = newLogger;
      unlogged.splice(0).forEach(log);
    },
  };
}

/** Logs an error; an exception here would end the process at once. */
function tryLog(logger: Logger, fields: LogEvents['uncaught_error']): void {
  try {
    logger.error('uncaught_error', fields);
  } catch (error) {
    writeLastLine(`${fields.reason}\n${describeError(error)}\n`);
  }
}
