export * from './scheduler.js';
export * from './scheduler_types.js';
