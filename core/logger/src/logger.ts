import {pino} from 'pino';
import {z} from 'zod';
import type {LogEventName, LogEvents} from './log_event.js';

/** Severity of a log line. */
export const logLevelSchema = z.enum([
  'debug',
  'info',
  'warn',
  'error',
  'silent',
]);

/** Severity of a log line. */
export type LogLevel = z.infer<typeof logLevelSchema>;

/** Writes typed events. */
export interface Logger {
  info<N extends LogEventName>(event: N, fields: LogEvents[N]): void;
  warn<N extends LogEventName>(event: N, fields: LogEvents[N]): void;
  error<N extends LogEventName>(event: N, fields: LogEvents[N]): void;
}

/** How a logger is made. */
export interface LoggerOptions {
  level: LogLevel;
  /** Receives each finished line; standard output by default. */
  write?: (line: string) => void;
}

/** Makes a logger that writes one line of key=value pairs for each event. */
export function createLogger(options: LoggerOptions): Logger {
  const write = options.write ?? (line => process.stdout.write(line));
  const logger = pino(
    {
      level: options.level,
      base: undefined,
      timestamp: pino.stdTimeFunctions.isoTime,
      formatters: {level: label => ({level: label})},
    },
    {write: (json: string) => write(formatLogfmt(JSON.parse(json)))},
  );
  return {
    info: (event, fields) => logger.info({event, ...fields}),
    warn: (event, fields) => logger.warn({event, ...fields}),
    error: (event, fields) => logger.error({event, ...fields}),
  };
}

function formatLogfmt(record: Record<string, unknown>): string {
  const pairs = Object.entries(record)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return pairs.join(' ') + '\n';
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return /^[^\s"=\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text);
}
