export * from './caller.js';
export * from './child_process.js';
export * from './test_cluster.js';
export * from './wait_until.js';
export * from './deployment.js';
export * from './admin.js';
