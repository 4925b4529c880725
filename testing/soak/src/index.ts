export * from './gateway_process.js';
export * from './run_soak.js';
export * from './soak_context.js';
