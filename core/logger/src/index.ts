export * from './rate_limited_logger.js';
export * from './log_rate_limiter.js';
export * from './line_writer.js';
export * from './log_event.js';
export * from './logger.js';
export * from './parse_log_line.js';
