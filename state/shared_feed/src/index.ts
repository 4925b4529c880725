export * from './failover_feed.js';
export * from './record_log.js';
export * from './record_log_types.js';
