export * from './bounded_logger.js';
export * from './line_budget.js';
export * from './line_writer.js';
export * from './log_event.js';
export * from './logger.js';
export * from './parse_log_line.js';
