export * from './lease.js';
export * from './lease_types.js';
export * from './run_lease.js';
