export * from './header_codec.js';
export * from './instance_list.js';
export * from './object_store.js';
export * from './record_feed.js';
export * from './store_restores.js';
export * from './table_service.js';
export * from './upstream_scaler.js';
export * from './usage_receiver.js';
