export * from './config_store.js';
export * from './version_conflict.js';
