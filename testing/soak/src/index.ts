export * from './gateway_process.js';
export * from './run_soak.js';
