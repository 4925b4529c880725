export * from './connection_end.js';
export * from './connection_tracker.js';
