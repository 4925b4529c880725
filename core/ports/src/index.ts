export * from './call_dialect.js';
export * from './instance_list.js';
export * from './object_store.js';
export * from './record_feed.js';
export * from './table_service.js';
export * from './upstream_starter.js';
export * from './usage_receiver.js';
