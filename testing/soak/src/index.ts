export * from './gateway_process.js';
export * from './large_callers.js';
export * from './read_resident_memory.js';
export * from './run_soak.js';
export * from './soak_context.js';
