import {pino} from 'pino';
import {z} from 'zod';
import type {LogEventName, LogEvents} from './log_event.js';

/** Minimum severity of the lines that are logged; `silent` logs nothing. */
export const logLevelSchema = z.enum([
  'debug',
  'info',
  'warn',
  'error',
  'silent',
]);

/** Minimum severity of the lines that are logged; `silent` logs nothing. */
export type LogLevel = z.infer<typeof logLevelSchema>;

/** Logs typed events at three severities. */
export interface Logger {
  info<N extends LogEventName>(event: N, fields: LogEvents[N]): void;
  warn<N extends LogEventName>(event: N, fields: LogEvents[N]): void;
  error<N extends LogEventName>(event: N, fields: LogEvents[N]): void;
}

/** Options for createLogger. */
export interface LoggerOptions {
  level: LogLevel;
  /** Called with each line, newline included; writes to standard output by default. */
  write?: (line: string) => void;
}

/** Creates a logger that writes each event as one line of key=value pairs. */
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
