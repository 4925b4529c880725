import {createLineBudget, type LineBudgetOptions} from './line_budget.js';
import {createLineWriter, type LineWriter} from './line_writer.js';
import type {LogEventName, LogEvents} from './log_event.js';
import {createLogger, type Logger, type LogLevel} from './logger.js';

/** Lines of one event in a second; a gateway handles fewer requests. */
const LINES_PER_SECOND = 400;

/** Lines of one event at once, after a quiet time. */
const BURST_LINES = 1_000;

/** Interval at which left-out lines are reported, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** What a bounded logger is made of. */
export interface BoundedLoggerOptions {
  level: LogLevel;
  writer?: LineWriter;
  budget?: LineBudgetOptions;
}

/**
 * Makes a logger to standard output that never blocks and whose volume is
 * bounded for each event. What was left out is reported once a second.
 */
export function createBoundedLogger(options: BoundedLoggerOptions): Logger {
  const writer = options.writer ?? createLineWriter();
  const budget = createLineBudget(
    options.budget ?? {linesPerSecond: LINES_PER_SECOND, burst: BURST_LINES},
  );
  const logger = createLogger({
    level: options.level,
    write: line => writer.write(line),
  });
  const report = () => {
    for (const {event, lines} of budget.takeSuppressed()) {
      logger.warn('log_suppressed', {suppressedEvent: event, lines});
    }
    const lines = writer.takeDropped();
    if (lines > 0) logger.warn('log_dropped', {lines});
  };
  setInterval(report, REPORT_INTERVAL_MS).unref();
  const bounded =
    (level: 'info' | 'warn' | 'error') =>
    <N extends LogEventName>(event: N, fields: LogEvents[N]) => {
      if (budget.take(event, performance.now())) logger[level](event, fields);
    };
  return {
    info: bounded('info'),
    warn: bounded('warn'),
    error: bounded('error'),
  };
}
