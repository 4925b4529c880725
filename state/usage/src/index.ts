export * from './usage_keys.js';
export * from './usage_reporter.js';
export * from './usage_accumulator.js';
export * from './usage_sums.js';
export * from './read_sealed_usage.js';
export * from './usage_batch_writer.js';
export * from './usage_store_route.js';
