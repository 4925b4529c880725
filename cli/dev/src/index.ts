export * from './dev_system.js';
