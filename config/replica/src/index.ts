export * from './config_change.js';
export * from './config_replica.js';
export * from './text_edit.js';
export * from './update_codec.js';
