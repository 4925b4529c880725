export * from './config_sync.js';
