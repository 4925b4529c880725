import {
  createLogRateLimiter,
  type LogRateLimiterOptions,
} from './log_rate_limiter.js';
import {createLineWriter, type LineWriter} from './line_writer.js';
import type {LogEventName, LogEvents} from './log_event.js';
import {createLogger, type Logger, type LogLevel} from './logger.js';

/** Sustained rate limit for each event; a gateway handles fewer requests per second. */
const MAX_LINES_PER_SECOND = 400;

/** Lines of one event that may be logged in a burst. */
const MAX_BURST_LINES = 1_000;

/** Interval at which the numbers of suppressed and dropped lines are logged. */
const REPORT_INTERVAL_MS = 1_000;

/** Options for createRateLimitedLogger. */
export interface RateLimitedLoggerOptions {
  level: LogLevel;
  writer?: LineWriter;
  rateLimit?: LogRateLimiterOptions;
}

/** A logger whose lines are written in the background. */
export interface RateLimitedLogger extends Logger {
  /** Resolves when all lines were written, or after a time limit in milliseconds. */
  flush(limitMs: number): Promise<void>;
}

/**
 * Creates a logger to standard output that never blocks and limits the rate of
 * lines for each event. It logs once a second how many lines it left out.
 */
export function createRateLimitedLogger(
  options: RateLimitedLoggerOptions,
): RateLimitedLogger {
  const writer = options.writer ?? createLineWriter();
  const limiter = createLogRateLimiter(
    options.rateLimit ?? {
      linesPerSecond: MAX_LINES_PER_SECOND,
      burst: MAX_BURST_LINES,
    },
  );
  const logger = createLogger({
    level: options.level,
    write: line => writer.write(line),
  });
  const report = () => {
    for (const {event, lines} of limiter.takeSuppressed()) {
      logger.warn('log_suppressed', {suppressedEvent: event, lines});
    }
    const lines = writer.takeDropped();
    if (lines > 0) logger.warn('log_dropped', {lines});
  };
  setInterval(report, REPORT_INTERVAL_MS).unref();
  const rateLimited =
    (level: 'info' | 'warn' | 'error') =>
    <N extends LogEventName>(event: N, fields: LogEvents[N]) => {
      if (limiter.allow(event, performance.now())) logger[level](event, fields);
    };
  return {
    info: rateLimited('info'),
    warn: rateLimited('warn'),
    error: rateLimited('error'),
    async flush(limitMs) {
      report();
      await writer.flush(limitMs);
    },
  };
}
